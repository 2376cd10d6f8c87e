package workerhealth

import (
	"cmp"
	"slices"
	"time"
)

const (
	// baseEjectionTime is the length of the first ejection. It doubles with each
	// further one, up to maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = time.Minute
	// maxEjectionDoublings keeps the doubled time from overflowing.
	maxEjectionDoublings = 10
	// ejectionsResetAfter is how long a worker must have been healthy for its next
	// ejection to be as short as the first.
	ejectionsResetAfter = 5 * time.Minute
	// requiredSuccesses end a probation, as does maxProbation without a fault.
	requiredSuccesses = 3
	maxProbation      = 30 * time.Second
)

// candidate is a worker that may be an outlier.
type candidate struct {
	worker   ActiveWorker
	history  *history
	outcomes outcomeCount
}

// ejectOutliers ejects workers, the worst first. Each is compared with all others
// that are not ejected yet, so that the worst ones do not hide behind each other.
func (r *review) ejectOutliers(active []ActiveWorker) {
	for _, c := range r.ejectionCandidates(active) {
		if !c.outcomes.isOutlier(r.pool.sub(c.outcomes)) || !r.mayCount(c.worker, r.ejected) {
			continue
		}
		r.pool = r.pool.sub(c.outcomes)
		c.worker.countIn(r.ejected)
		r.eject(c.history, c.outcomes.reason())
	}
}

// ejectionCandidates lists the workers with faults that are not ejected, the worst
// first.
func (r *review) ejectionCandidates(active []ActiveWorker) []candidate {
	var candidates []candidate
	for _, worker := range active {
		known, hasFaults := r.tracker.withFaults[worker.ID]
		if hasFaults && (known.status.State == Healthy || known.status.State == Slow) {
			candidates = append(candidates, candidate{worker, known, known.countOutcomes()})
		}
	}
	slices.SortFunc(candidates, compareWorst)
	return candidates
}

// compareWorst orders by the share of faults, then by the number of faulty jobs. The
// worker id makes the order total.
func compareWorst(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(b.outcomes.faultShare(), a.outcomes.faultShare()),
		cmp.Compare(b.outcomes.faultyJobs, a.outcomes.faultyJobs),
		cmp.Compare(a.worker.ID, b.worker.ID),
	)
}

// eject makes a worker Suspect, each time for longer.
func (r *review) eject(worker *history, reason string) {
	r.setStatus(worker, Status{State: Suspect, Reason: reason}, worker.nextEjectionTime())
}

// nextEjectionTime is the length of a worker's next ejection, which it counts.
func (h *history) nextEjectionTime() time.Duration {
	length := min(baseEjectionTime<<min(h.ejections, maxEjectionDoublings), maxEjectionTime)
	h.ejections++
	return length
}

// startProbation ends an ejection. The reason stays, as the worker is not healthy yet.
func (r *review) startProbation(worker *history) {
	worker.reset()
	r.setStatus(worker, Status{State: Probation, Reason: worker.status.Reason}, maxProbation)
}

// reviewProbation ejects a worker on probation at its first fault, and reinstates it
// after enough successes, or after a time in which it got no work that failed.
func (r *review) reviewProbation(worker *history) {
	switch {
	case worker.countOutcomes().faultWeight > 0:
		r.eject(worker, "failed again on probation")
	case worker.successes >= requiredSuccesses || r.now >= worker.until:
		r.reinstate(worker)
	}
}

// reinstate makes a worker Healthy.
func (r *review) reinstate(worker *history) {
	worker.reset()
	worker.healthySince = r.now
	r.setStatus(worker, Status{State: Healthy}, 0)
}
