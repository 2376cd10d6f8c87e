package workerhealth

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Review looks at every worker that takes work now, and returns the verdicts
// that changed. The worst workers are held back first, and of each service at
// most one worker in four, but one at least if there are two.
func (t *Tracker) Review(now time.Duration, subjects []ActiveWorker) []StatusChange {
	r := review{tracker: t, now: now, serving: map[string]int{}, ejected: map[string]int{}, slow: map[string]int{}}
	r.countServices(subjects)
	for _, subject := range subjects {
		r.endExpiredStatus(t.historyOf(subject.ID))
	}
	r.countEjected(subjects)
	r.ejectOutliers(subjects)
	r.detectSlow(subjects)
	return r.changes
}

// review is one call of Review.
type review struct {
	tracker *Tracker
	now     time.Duration
	// serving, held and slow count workers by service.
	serving, ejected, slow map[string]int
	// pool is the tally of those not held back.
	pool    outcomeCount
	changes []StatusChange
}

func (r *review) countServices(subjects []ActiveWorker) {
	for id, w := range r.tracker.withFaults {
		if !w.expire(r.now) {
			delete(r.tracker.withFaults, id)
		}
	}
	for _, subject := range subjects {
		for _, service := range subject.Services {
			r.serving[service]++
		}
	}
}

func (r *review) countEjected(subjects []ActiveWorker) {
	for _, subject := range subjects {
		w := r.tracker.historyOf(subject.ID)
		switch w.status.State {
		case Suspect, Probation:
			subject.countIn(r.ejected)
			continue
		case Slow:
			subject.countIn(r.slow)
		}
		r.pool = r.pool.add(r.tracker.outcomesOf(w))
	}
}

func (s ActiveWorker) countIn(workers map[string]int) {
	for _, service := range s.Services {
		workers[service]++
	}
}

// mayCountOneMore reports whether one more worker with these services may be among those
// that are counted.
func (r *review) mayCountOneMore(subject ActiveWorker, counted map[string]int) bool {
	for _, service := range subject.Services {
		serving := r.serving[service]
		if serving < 2 || counted[service] >= max(serving/workersPerEjection, 1) {
			return false
		}
	}
	return true
}

// endExpiredStatus ends verdicts whose time is over, or that were shown to be wrong.
func (r *review) endExpiredStatus(w *history) {
	switch w.status.State {
	case Suspect:
		if r.now >= w.until {
			w.reset()
			r.setStatus(w, Status{State: Probation, Reason: w.status.Reason}, maxProbation)
		}
	case Probation:
		switch {
		case w.countOutcomes().faultWeight > 0:
			r.eject(w, "failed again on probation")
		case w.probationSuccesses >= requiredSuccesses || r.now >= w.until:
			r.reinstate(w)
		}
	case Slow:
		if r.now >= w.until {
			r.reviewSlow(w)
		}
	default:
		if w.ejections > 0 && r.now-w.healthySince >= ejectionsResetAfter {
			w.ejections = 0
		}
	}
}

func (w *history) reset() {
	w.ends, w.paces, w.probationSuccesses = nil, nil, 0
}

func (r *review) setStatus(w *history, to Status, lasts time.Duration) {
	w.status, w.until = to, r.now+lasts
	r.changes = append(r.changes, StatusChange{WorkerID: w.id, Status: to, Until: w.until})
}

// eject holds the worker back, each time for longer.
func (r *review) eject(w *history, reason string) {
	lasts := min(baseEjectionTime<<min(w.ejections, 10), maxEjectionTime)
	w.ejections++
	r.setStatus(w, Status{State: Suspect, Reason: reason}, lasts)
}

func (r *review) reinstate(w *history) {
	w.reset()
	w.healthySince = r.now
	r.setStatus(w, Status{State: Healthy}, 0)
}

// candidate is a worker that may have to be held back.
type candidate struct {
	active   ActiveWorker
	history  *history
	outcomes outcomeCount
}

// ejectOutliers holds workers back, the worst first. Each is compared with all
// others that are not held back yet.
func (r *review) ejectOutliers(subjects []ActiveWorker) {
	var candidates []candidate
	for _, subject := range subjects {
		w, blemished := r.tracker.withFaults[subject.ID]
		if blemished && (w.status.State == Healthy || w.status.State == Slow) {
			candidates = append(candidates, candidate{subject, w, w.countOutcomes()})
		}
	}
	slices.SortFunc(candidates, compareWorst)
	for _, c := range candidates {
		if !c.outcomes.isOutlier(r.pool.sub(c.outcomes)) || !r.mayCountOneMore(c.active, r.ejected) {
			continue
		}
		r.pool = r.pool.sub(c.outcomes)
		c.active.countIn(r.ejected)
		r.eject(c.history, c.outcomes.reason())
	}
}

func compareWorst(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(b.outcomes.faultShare(), a.outcomes.faultShare()),
		cmp.Compare(b.outcomes.faultyJobs, a.outcomes.faultyJobs),
		cmp.Compare(a.active.ID, b.active.ID),
	)
}

func (a outcomeCount) reason() string {
	return fmt.Sprintf("work fails or stands still here and not elsewhere: weight %d against %d successes", a.faultWeight, a.successes)
}
