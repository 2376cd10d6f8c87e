package workerhealth

import (
	"cmp"
	"slices"
	"time"
)

const (
	// baseEjectionTime is the duration of the first ejection. The duration doubles with
	// each further ejection, up to maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = time.Minute
	// maxEjectionDoublings prevents an overflow of the doubled duration.
	maxEjectionDoublings = 10
	// ejectionsResetAfter is how long a worker must have been healthy before its next
	// ejection takes only baseEjectionTime again.
	ejectionsResetAfter = 5 * time.Minute
	// requiredSuccesses is the number of succeeded runs that ends a probation.
	// maxProbation ends it too, if there was no fault.
	requiredSuccesses = 3
	maxProbation      = 30 * time.Second
)

// candidate is a worker that may be ejected as an outlier.
type candidate struct {
	worker   ActiveWorker
	history  *history
	outcomes outcomeCount
}

// ejectOutliers ejects outliers, the worst first, as far as the bounds allow. Each
// candidate is compared with all other workers that are not ejected yet, so that the
// faults of the workers ejected before do not make its own share of faults look normal.
func (r *review) ejectOutliers(active []ActiveWorker) {
	for _, c := range r.ejectionCandidates(active) {
		if !c.outcomes.isOutlier(r.poolOutcomes.sub(c.outcomes)) || !r.fitsServiceBound(c.worker, r.ejected) {
			continue
		}
		r.poolOutcomes = r.poolOutcomes.sub(c.outcomes)
		c.worker.countIn(r.ejected)
		r.eject(c.history, c.outcomes.reason())
	}
}

// ejectionCandidates returns the workers with faults that are Healthy or Slow, the worst
// first.
func (r *review) ejectionCandidates(active []ActiveWorker) []candidate {
	var candidates []candidate
	for _, worker := range active {
		h, hasFaults := r.tracker.withFaults[worker.ID]
		if hasFaults && (h.status.State == Healthy || h.status.State == Slow) {
			candidates = append(candidates, candidate{worker, h, h.countOutcomes()})
		}
	}
	slices.SortFunc(candidates, compareByFaults)
	return candidates
}

// compareByFaults orders candidates by descending share of faults, then by descending
// number of faulty jobs. The worker id makes the order total.
func compareByFaults(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(b.outcomes.faultShare(), a.outcomes.faultShare()),
		cmp.Compare(b.outcomes.faultyJobs, a.outcomes.faultyJobs),
		cmp.Compare(a.worker.ID, b.worker.ID),
	)
}

// eject makes a worker Suspect for its next ejection time.
func (r *review) eject(worker *history, reason string) {
	r.setStatus(worker, Status{State: Suspect, Reason: reason}, worker.nextEjectionTime())
}

// nextEjectionTime counts an ejection of the worker and returns its duration.
func (h *history) nextEjectionTime() time.Duration {
	length := min(baseEjectionTime<<min(h.ejections, maxEjectionDoublings), maxEjectionTime)
	h.ejections++
	return length
}

// startProbation ends an ejection and puts the worker on Probation. The status keeps its
// reason, as the worker is not healthy yet.
func (r *review) startProbation(worker *history) {
	worker.reset()
	r.setStatus(worker, Status{State: Probation, Reason: worker.status.Reason}, maxProbation)
}

// reviewProbation ejects a worker on probation at its first fault. It reinstates the worker
// after requiredSuccesses, or after maxProbation without a fault.
func (r *review) reviewProbation(worker *history) {
	switch {
	case worker.countOutcomes().faultWeight > 0:
		r.eject(worker, "failed again on probation")
	case worker.successes >= requiredSuccesses || r.now >= worker.reviewAt:
		r.reinstate(worker)
	}
}

// reinstate makes a worker Healthy and clears what was observed of it.
func (r *review) reinstate(worker *history) {
	worker.reset()
	worker.healthySince = r.now
	r.setStatus(worker, Status{State: Healthy}, 0)
}
