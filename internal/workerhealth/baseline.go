package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// maxQueueSamples is the number of a queue's newest ended runs in its baseline.
	maxQueueSamples = 64
	// minStepSamples is the number of runs of a step that must have ended on other
	// workers before a run of the step can be compared with them. maxStepSamples is the
	// number of a step's newest ended runs in its baseline.
	minStepSamples, maxStepSamples = 2, 16
	// maxQueueBaselines and maxStepBaselines bound the number of baselines in memory.
	maxQueueBaselines = 1024
	maxStepBaselines  = 4096
)

// RunPace is the duration of one run relative to its estimate. The duration of a run that
// has not ended is extrapolated from its progress.
type RunPace struct {
	Run record.RunID
	// Queue is the queue of the run's job. Its ended runs are the baseline for runs of
	// steps that have too few tasks for a baseline of their own.
	Queue string
	// StepSize is the number of tasks of the run's step. Up to minStepSamples, and so also
	// at 0, the run is compared with the baseline of its queue.
	StepSize int
	// Ratio is the run's duration divided by its estimate. A pace with a ratio of 0 or
	// less is ignored.
	Ratio float64
	// Ended is true once the run has succeeded. Only ended runs are added to a baseline.
	Ended bool
}

// ObservePace records the pace of a run on a worker. It replaces the pace recorded for
// that run before. While the baseline has too few runs for a comparison, the worker's
// history stays as it is; an ended run is added to the baseline nevertheless.
func (t *Tracker) ObservePace(workerID string, pace RunPace, now time.Duration) {
	if pace.Ratio <= 0 {
		return
	}
	expected, known := t.expectedRatio(workerID, pace)
	if !known {
		return
	}
	t.historyOf(workerID).addPace(paceSample{run: pace.Run, at: now, multiple: pace.Ratio / expected})
}

// expectedRatio returns the ratio that the run is expected to have according to its
// baseline, or false if the baseline has too few runs. It adds an ended run to the baseline.
//
// The estimates of a job are often all wrong by the same factor, so a run is compared with
// the runs of its step on other workers. If the step has too few tasks for that, the run
// is compared with the ended runs of its queue, on any worker.
func (t *Tracker) expectedRatio(workerID string, pace RunPace) (ratio float64, known bool) {
	if pace.StepSize > minStepSamples {
		step := getOrCreate(t.stepBaselines, pace.Run.Task.StepID(), maxStepBaselines)
		// The median is taken before the run is added to the baseline.
		ratio, known = step.medianOnOthers(workerID)
		if pace.Ended {
			step.samples.add(stepSample{workerID, pace.Ratio}, maxStepSamples)
		}
		return ratio, known
	}
	queue := getOrCreate(t.queueBaselines, pace.Queue, maxQueueBaselines)
	if pace.Ended {
		queue.add(pace.Ratio)
	}
	return queue.median, queue.median != 0
}

// queueBaseline holds the ratios of the newest ended runs of one queue.
type queueBaseline struct {
	ratios ring[float64]
	// median is the median of ratios; 0 until there are minPaceSamples of them.
	median float64
}

func (b *queueBaseline) add(ratio float64) {
	b.ratios.add(ratio, maxQueueSamples)
	if len(b.ratios.values) >= minPaceSamples {
		b.median = median(b.ratios.values)
	}
}

// stepBaseline holds the ratios of the newest ended runs of one step.
type stepBaseline struct {
	samples ring[stepSample]
}

type stepSample struct {
	workerID string
	ratio    float64
}

// medianOnOthers returns the median ratio of the runs on other workers, or false if
// there are fewer than minStepSamples.
func (b *stepBaseline) medianOnOthers(workerID string) (ratio float64, known bool) {
	var others []float64
	for _, sample := range b.samples.values {
		if sample.workerID != workerID {
			others = append(others, sample.ratio)
		}
	}
	if len(others) < minStepSamples {
		return 0, false
	}
	return median(others), true
}

// ring keeps the newest values that were added to it. Their order is unspecified.
type ring[T any] struct {
	values []T
	// next is the index of the oldest value once the ring is full.
	next int
}

// add adds a value. Once there are limit values, it replaces the oldest one. limit must be
// the same in all calls.
func (r *ring[T]) add(value T, limit int) {
	if len(r.values) < limit {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % limit
}

// getOrCreate returns the value of a key, or adds a zero value if there is none. If the
// map already has limit keys, it is cleared before a key is added.
func getOrCreate[K comparable, V any](values map[K]*V, key K, limit int) *V {
	if found, ok := values[key]; ok {
		return found
	}
	if len(values) >= limit {
		clear(values)
	}
	created := new(V)
	values[key] = created
	return created
}
