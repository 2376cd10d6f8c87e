package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// maxQueueSamples is the number of a queue's newest runs that its baseline covers.
	maxQueueSamples = 64
	// minStepSamples is the number of runs of a step that must have ended on other
	// workers to tell the pace of one, maxStepSamples the number that is kept.
	minStepSamples, maxStepSamples = 2, 16
	// maxQueues and maxSteps bound the baselines that are kept.
	maxQueues = 1024
	maxSteps  = 4096
)

// RunPace is how long one run took, or will take by its progress so far, in relation
// to its estimate.
type RunPace struct {
	Run record.RunID
	// Queue is the queue of the run's job. Its other runs are the baseline of steps
	// that are too small to be one.
	Queue string
	// StepSize is the number of tasks of the run's step; 0 makes the queue the baseline.
	StepSize int
	// Ratio is the run's time over its estimate. A pace is ignored unless it is over 0.
	Ratio float64
	// Ended is true once the run has succeeded. Only ended runs become part of a
	// baseline.
	Ended bool
}

// ObservePace records the pace of a run on a worker, in the place of what was
// recorded of that run before.
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

// expectedRatio is the ratio that the run would have on another worker; false if too
// little is known. The estimates of a job are often all wrong by the same factor, so
// a run is compared with those of its step on other workers. Only where a step has
// too few tasks for that is it compared with the runs of its queue.
func (t *Tracker) expectedRatio(workerID string, pace RunPace) (ratio float64, known bool) {
	if pace.StepSize > minStepSamples {
		step := getOrCreate(t.stepBaselines, pace.Run.Task.StepID(), maxSteps)
		// The run is not part of what it is compared with.
		ratio, known = step.medianOnOthers(workerID)
		if pace.Ended {
			step.samples.add(stepSample{workerID, pace.Ratio}, maxStepSamples)
		}
		return ratio, known
	}
	queue := getOrCreate(t.queueBaselines, pace.Queue, maxQueues)
	if pace.Ended {
		queue.add(pace.Ratio)
	}
	return queue.median, queue.median != 0
}

// queueBaseline holds the ratios of the newest ended runs of one queue.
type queueBaseline struct {
	ratios ring[float64]
	// median is 0 until there are minPaceSamples.
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

// medianOnOthers returns the median ratio of the runs on other workers; false if
// there are too few.
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

// ring keeps the newest of the values that are added to it, in no useful order.
type ring[T any] struct {
	values []T
	// next is the index of the oldest value once the ring is full.
	next int
}

// add adds a value, in the place of the oldest once there are limit values.
func (r *ring[T]) add(value T, limit int) {
	if len(r.values) < limit {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % limit
}

// getOrCreate returns the value of a key, a new one if there is none. It bounds the
// map by clearing it when a key comes that would be beyond limit.
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
