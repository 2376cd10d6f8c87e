package workerhealth

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/record"
)

// paceSample is the pace of one run, as a multiple of what is usual.
type paceSample struct {
	run      record.RunID
	at       time.Duration
	multiple float64
}

// usual is what runs of one queue take, over their estimates.
type queueBaseline struct {
	ratios ring[float64]
	median float64
}

// ObservePace notes how fast a run goes, or went, on a worker. The newest word on a
// run counts.
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

// expectedRatio is the pace that the run would have on another worker; false if too little
// is known. Estimates are off by a multiple for a whole job, so a run is compared with
// those of its step elsewhere; only where a step has too few tasks, with its queue's.
func (t *Tracker) expectedRatio(workerID string, pace RunPace) (float64, bool) {
	if pace.StepSize > minStepSamples {
		step := getOrCreate(t.stepBaselines, pace.Run.Task.StepID(), maxSteps)
		expected, known := step.medianOnOthers(workerID)
		if pace.Ended {
			step.samples.add(stepSample{workerID, pace.Ratio}, maxStepSamples)
		}
		return expected, known
	}
	usualHere := getOrCreate(t.queueBaselines, pace.Queue, maxQueues)
	if pace.Ended {
		usualHere.add(pace.Ratio)
	}
	return usualHere.median, usualHere.median != 0
}

func (u *queueBaseline) add(ratio float64) {
	u.ratios.add(ratio, maxQueueSamples)
	if len(u.ratios.values) >= minPaceSamples {
		u.median = median(u.ratios.values)
	}
}

// addPace keeps the newest word on each of the newest runs.
func (w *history) addPace(seen paceSample) {
	w.paces = slices.DeleteFunc(w.paces, func(other paceSample) bool { return other.run == seen.run })
	if len(w.paces) == maxPaceSamples {
		w.paces = append(w.paces[:0], w.paces[1:]...)
	}
	w.paces = append(w.paces, seen)
}

// medianPace returns the median over jobs of how the worker's newest runs of each
// went; false if too few jobs are known. One job whose estimates are wrong makes
// no worker slow.
func (w *history) medianPace(now time.Duration) (float64, bool) {
	w.paces = slices.DeleteFunc(w.paces, func(seen paceSample) bool { return now-seen.at >= paceWindow })
	byJob := make(map[string][]float64)
	for _, seen := range w.paces {
		byJob[seen.run.Task.Job] = append(byJob[seen.run.Task.Job], seen.multiple)
	}
	if len(w.paces) < minPaceSamples || len(byJob) < minPaceJobs {
		return 0, false
	}
	jobs := make([]float64, 0, len(byJob))
	for _, multiples := range byJob {
		jobs = append(jobs, median(multiples))
	}
	return median(jobs), true
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// detectSlow marks trusted workers that are far slower than others.
func (r *review) detectSlow(subjects []ActiveWorker) {
	for _, subject := range subjects {
		w := r.tracker.historyOf(subject.ID)
		if w.status.State != Healthy || len(w.paces) < minPaceSamples {
			continue
		}
		pace, known := w.medianPace(r.now)
		if !known || pace < slowThreshold || !r.mayCountOneMore(subject, r.slow) {
			continue
		}
		subject.countIn(r.slow)
		r.setSlow(w, pace)
	}
}

func (r *review) setSlow(w *history, pace float64) {
	lasts := min(baseEjectionTime<<min(w.ejections, 10), maxEjectionTime)
	w.ejections++
	r.setStatus(w, Status{State: Slow, Reason: fmt.Sprintf("takes %.1f times as long as others", pace)}, lasts)
}

// reviewSlow asks again once the time of a verdict is over: a worker whose runs are
// still slow stays so, one that got none is tried again.
func (r *review) reviewSlow(w *history) {
	if pace, known := w.medianPace(r.now); known && pace >= slowRecovery {
		r.setSlow(w, pace)
		return
	}
	r.reinstate(w)
}
