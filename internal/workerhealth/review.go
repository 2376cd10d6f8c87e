package workerhealth

import "time"

// workersPerEjection bounds the ejected workers of a service: at most one ejected worker
// for each workersPerEjection active ones, but at least one. The same bound applies to the
// slow workers.
const workersPerEjection = 4

// Review updates the status of every active worker, and returns the changes of status in
// the order in which they were made. The worst outliers are ejected first. At most a
// quarter of the active workers of a service is ejected, but always up to one if there are
// at least two. The result depends on the order of the active workers, so the caller
// should keep it stable.
func (t *Tracker) Review(now time.Duration, active []ActiveWorker) []StatusChange {
	r := review{tracker: t, now: now, serving: map[string]int{}, ejected: map[string]int{}, slow: map[string]int{}}
	r.expireRunEnds()
	r.countServing(active)
	// Expired statuses end before workers are counted by state, so that a worker that
	// is reinstated here no longer counts towards the bounds.
	for _, worker := range active {
		r.endExpiredStatus(t.historyOf(worker.ID))
	}
	r.countByState(active)
	r.ejectOutliers(active)
	r.detectSlow(active)
	return r.changes
}

// review is the state of one call of Review.
type review struct {
	tracker *Tracker
	now     time.Duration
	// serving, ejected and slow count by service all active workers, those that are
	// Suspect or on Probation, and those that are Slow.
	serving, ejected, slow map[string]int
	// poolOutcomes is the sum of the outcomes of the active workers that are not ejected.
	poolOutcomes outcomeCount
	changes      []StatusChange
}

// expireRunEnds drops old run ends of all workers with faults, active or not. It leaves
// the run ends of workers without faults, which are all successes.
func (r *review) expireRunEnds() {
	for id, worker := range r.tracker.withFaults {
		if hasFaults := worker.expire(r.now); !hasFaults {
			delete(r.tracker.withFaults, id)
		}
	}
}

// countServing counts the active workers of each service.
func (r *review) countServing(active []ActiveWorker) {
	for _, worker := range active {
		worker.countIn(r.serving)
	}
}

// countByState counts ejected and slow workers by service, and sums up the outcomes of
// the workers that are not ejected.
func (r *review) countByState(active []ActiveWorker) {
	for _, worker := range active {
		h := r.tracker.historyOf(worker.ID)
		switch h.status.State {
		case Suspect, Probation:
			worker.countIn(r.ejected)
			continue
		case Slow:
			worker.countIn(r.slow)
		}
		r.poolOutcomes = r.poolOutcomes.add(r.tracker.outcomesOf(h))
	}
}

// fitsServiceBound reports whether the worker may be added to countByService, which counts
// ejected or slow workers, without exceeding the bound for any of its services.
func (r *review) fitsServiceBound(worker ActiveWorker, countByService map[string]int) bool {
	for _, service := range worker.Services {
		serving := r.serving[service]
		if serving < 2 || countByService[service] >= max(serving/workersPerEjection, 1) {
			return false
		}
	}
	return true
}

// endExpiredStatus reviews a Suspect or Slow worker at its reviewAt, and a worker on
// probation in any case. It resets the ejection count of a worker that has been healthy
// for ejectionsResetAfter.
func (r *review) endExpiredStatus(worker *history) {
	switch worker.status.State {
	case Suspect:
		if r.now >= worker.reviewAt {
			r.startProbation(worker)
		}
	case Probation:
		r.reviewProbation(worker)
	case Slow:
		if r.now >= worker.reviewAt {
			r.reviewSlow(worker)
		}
	default:
		if worker.ejections > 0 && r.now-worker.healthySince >= ejectionsResetAfter {
			worker.ejections = 0
		}
	}
}

// setStatus sets the worker's status, to be reviewed after length, and records the change.
func (r *review) setStatus(worker *history, status Status, length time.Duration) {
	worker.status, worker.reviewAt = status, r.now+length
	r.changes = append(r.changes, StatusChange{WorkerID: worker.id, Status: status, ReviewAt: worker.reviewAt})
}
