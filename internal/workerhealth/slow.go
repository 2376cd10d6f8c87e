package workerhealth

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// maxPaceSamples is the number of a worker's newest runs that determine its pace. The
	// pace is known from minPaceSamples runs of minPaceJobs different jobs on.
	maxPaceSamples, minPaceSamples, minPaceJobs = 16, 4, 3
	// paceWindow is how long a pace sample is used.
	paceWindow = time.Minute
	// slowThreshold is the pace, as a multiple of the baseline, at which a worker becomes
	// Slow; below slowRecovery it is reinstated.
	slowThreshold, slowRecovery = 2.0, 1.5
)

// paceSample is the pace of one run.
type paceSample struct {
	run record.RunID
	at  time.Duration
	// multiple is the run's duration divided by the duration expected by the baseline.
	multiple float64
}

// addPace records the newest pace of a run. It replaces an older pace of the same run. If
// there is none and there are maxPaceSamples already, it drops the oldest.
func (h *history) addPace(added paceSample) {
	h.paces = slices.DeleteFunc(h.paces, func(sample paceSample) bool { return sample.run == added.run })
	if len(h.paces) == maxPaceSamples {
		h.paces = append(h.paces[:0], h.paces[1:]...)
	}
	h.paces = append(h.paces, added)
}

// medianPace returns the worker's pace: the median over jobs of the median pace of each
// job's runs. It returns false if there are fewer than minPaceSamples runs or minPaceJobs
// jobs. Due to the median over jobs, one job with wrong estimates cannot make a worker
// Slow. medianPace drops samples that are older than paceWindow.
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

// median returns the upper median of values, which must not be empty.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// detectSlow makes Healthy workers Slow whose pace reaches slowThreshold, as far as the
// bounds allow.
func (r *review) detectSlow(active []ActiveWorker) {
	for _, worker := range active {
		h := r.tracker.historyOf(worker.ID)
		if h.status.State != Healthy || len(h.paces) < minPaceSamples {
			continue
		}
		pace, measured := h.medianPace(r.now)
		if !measured || pace < slowThreshold || !r.fitsServiceBound(worker, r.slow) {
			continue
		}
		worker.countIn(r.slow)
		r.setSlow(h, pace)
	}
}

// setSlow makes a worker Slow for its next ejection time.
func (r *review) setSlow(worker *history, pace float64) {
	reason := fmt.Sprintf("takes %.1f times as long as others", pace)
	r.setStatus(worker, Status{State: Slow, Reason: reason}, worker.nextEjectionTime())
}

// reviewSlow reviews a Slow worker at its reviewAt. The worker stays Slow if its pace is
// still at least slowRecovery. Otherwise it is reinstated, also if it got too few runs for
// a pace, so that it is measured again.
func (r *review) reviewSlow(worker *history) {
	if pace, measured := worker.medianPace(r.now); measured && pace >= slowRecovery {
		r.setSlow(worker, pace)
		return
	}
	r.reinstate(worker)
}
