package workerhealth

import "time"

// workersPerEjection bounds the ejected workers of a service to one in so many, and
// so the slow ones.
const workersPerEjection = 4

// Review updates the status of every active worker, and returns the statuses that
// changed, in the order of the changes. The worst outliers are ejected first. Of each
// service at most a quarter of the active workers is ejected, but one at least if
// there are two. The result depends on the order of the active workers, which the
// caller should keep stable.
func (t *Tracker) Review(now time.Duration, active []ActiveWorker) []StatusChange {
	r := review{tracker: t, now: now, serving: map[string]int{}, ejected: map[string]int{}, slow: map[string]int{}}
	r.expireRunEnds()
	r.countServing(active)
	// Transitions by time come before the counts, so that a worker that is reinstated
	// here makes room for another one.
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
	// serving, ejected and slow count active workers by service.
	serving, ejected, slow map[string]int
	// pool sums up the outcomes of the workers that are not ejected.
	pool    outcomeCount
	changes []StatusChange
}

// expireRunEnds drops old run ends of all workers with faults, active or not. Those
// of workers without faults are not dropped; they count as successes only.
func (r *review) expireRunEnds() {
	for id, worker := range r.tracker.withFaults {
		if hasFaults := worker.expire(r.now); !hasFaults {
			delete(r.tracker.withFaults, id)
		}
	}
}

func (r *review) countServing(active []ActiveWorker) {
	for _, worker := range active {
		worker.countIn(r.serving)
	}
}

// countByState counts ejected and slow workers, and pools the outcomes of those that
// are not ejected.
func (r *review) countByState(active []ActiveWorker) {
	for _, worker := range active {
		known := r.tracker.historyOf(worker.ID)
		switch known.status.State {
		case Suspect, Probation:
			worker.countIn(r.ejected)
			continue
		case Slow:
			worker.countIn(r.slow)
		}
		r.pool = r.pool.add(r.tracker.outcomesOf(known))
	}
}

// mayCount reports whether the worker may join those that are counted by service
// without exceeding the bound of one of its services.
func (r *review) mayCount(worker ActiveWorker, counted map[string]int) bool {
	for _, service := range worker.Services {
		serving := r.serving[service]
		if serving < 2 || counted[service] >= max(serving/workersPerEjection, 1) {
			return false
		}
	}
	return true
}

// endExpiredStatus ends a status whose time is over, or that the newest outcomes
// contradict.
func (r *review) endExpiredStatus(worker *history) {
	switch worker.status.State {
	case Suspect:
		if r.now >= worker.until {
			r.startProbation(worker)
		}
	case Probation:
		r.reviewProbation(worker)
	case Slow:
		if r.now >= worker.until {
			r.reviewSlow(worker)
		}
	default:
		if worker.ejections > 0 && r.now-worker.healthySince >= ejectionsResetAfter {
			worker.ejections = 0
		}
	}
}

// setStatus performs a transition; the status is reviewed again after length.
func (r *review) setStatus(worker *history, status Status, length time.Duration) {
	worker.status, worker.until = status, r.now+length
	r.changes = append(r.changes, StatusChange{WorkerID: worker.id, Status: status, Until: worker.until})
}
