package workerhealth

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// maxPaceSamples is the number of a worker's newest runs that count for its pace;
	// minPaceSamples runs of minPaceJobs jobs are needed to tell it.
	maxPaceSamples, minPaceSamples, minPaceJobs = 16, 4, 3
	// paceWindow is how long a run counts for its worker's pace.
	paceWindow = time.Minute
	// slowThreshold and slowRecovery are the paces, as multiples of the baseline, from
	// which on a worker becomes slow, and below which it no longer is.
	slowThreshold, slowRecovery = 2.0, 1.5
)

// paceSample is the pace of one run.
type paceSample struct {
	run record.RunID
	at  time.Duration
	// multiple is the run's time over the time that the baseline lets expect.
	multiple float64
}

// addPace records the newest pace of a run. It takes the place of an older one of
// the same run, or else of the oldest if there are too many.
func (h *history) addPace(added paceSample) {
	h.paces = slices.DeleteFunc(h.paces, func(sample paceSample) bool { return sample.run == added.run })
	if len(h.paces) == maxPaceSamples {
		h.paces = append(h.paces[:0], h.paces[1:]...)
	}
	h.paces = append(h.paces, added)
}

// medianPace returns the median, over jobs, of the medians of the worker's runs of
// each job; false if too little is known. The median over jobs keeps one job whose
// estimates are wrong from making a worker slow.
func (h *history) medianPace(now time.Duration) (pace float64, known bool) {
	h.paces = slices.DeleteFunc(h.paces, func(sample paceSample) bool { return now-sample.at >= paceWindow })
	byJob := make(map[string][]float64)
	for _, sample := range h.paces {
		byJob[sample.run.Task.Job] = append(byJob[sample.run.Task.Job], sample.multiple)
	}
	if len(h.paces) < minPaceSamples || len(byJob) < minPaceJobs {
		return 0, false
	}
	medians := make([]float64, 0, len(byJob))
	for _, multiples := range byJob {
		medians = append(medians, median(multiples))
	}
	return median(medians), true
}

// median returns the upper median of at least one value.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// detectSlow finds healthy workers that are far slower than others.
func (r *review) detectSlow(active []ActiveWorker) {
	for _, worker := range active {
		known := r.tracker.historyOf(worker.ID)
		if known.status.State != Healthy || len(known.paces) < minPaceSamples {
			continue
		}
		pace, measured := known.medianPace(r.now)
		if !measured || pace < slowThreshold || !r.mayCount(worker, r.slow) {
			continue
		}
		worker.countIn(r.slow)
		r.setSlow(known, pace)
	}
}

// setSlow makes a worker Slow, each time for longer.
func (r *review) setSlow(worker *history, pace float64) {
	reason := fmt.Sprintf("takes %.1f times as long as others", pace)
	r.setStatus(worker, Status{State: Slow, Reason: reason}, worker.nextEjectionTime())
}

// reviewSlow decides once the time of a Slow status is over: a worker whose runs are
// still slow stays so; one that got no runs is reinstated, to be measured again.
func (r *review) reviewSlow(worker *history) {
	if pace, measured := worker.medianPace(r.now); measured && pace >= slowRecovery {
		r.setSlow(worker, pace)
		return
	}
	r.reinstate(worker)
}
