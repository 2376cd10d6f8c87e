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
func (t *Tracker) Review(now time.Duration, subjects []Subject) []Change {
	r := review{tracker: t, now: now, serving: map[string]int{}, held: map[string]int{}, slow: map[string]int{}}
	r.count(subjects)
	for _, subject := range subjects {
		r.endTerm(t.worker(subject.ID))
	}
	r.countHeld(subjects)
	r.condemnWorst(subjects)
	r.judgeSlow(subjects)
	return r.changes
}

// review is one call of Review.
type review struct {
	tracker *Tracker
	now     time.Duration
	// serving, held and slow count workers by service.
	serving, held, slow map[string]int
	// all is the tally of those not held back.
	all     tally
	changes []Change
}

func (r *review) count(subjects []Subject) {
	for id, w := range r.tracker.blemished {
		if !w.expire(r.now) {
			delete(r.tracker.blemished, id)
		}
	}
	for _, subject := range subjects {
		for _, service := range subject.Services {
			r.serving[service]++
		}
	}
}

func (r *review) countHeld(subjects []Subject) {
	for _, subject := range subjects {
		w := r.tracker.worker(subject.ID)
		switch w.verdict.Standing {
		case Suspect, Probation:
			subject.count(r.held)
			continue
		case Slow:
			subject.count(r.slow)
		}
		r.all = r.all.add(r.tracker.tallyOf(w))
	}
}

func (s Subject) count(workers map[string]int) {
	for _, service := range s.Services {
		workers[service]++
	}
}

// allows reports whether one more worker with these services may be among those
// that are counted.
func (r *review) allows(subject Subject, counted map[string]int) bool {
	for _, service := range subject.Services {
		serving := r.serving[service]
		if serving < 2 || counted[service] >= max(serving/heldBackPart, 1) {
			return false
		}
	}
	return true
}

// endTerm ends verdicts whose time is over, or that were shown to be wrong.
func (r *review) endTerm(w *worker) {
	switch w.verdict.Standing {
	case Suspect:
		if r.now >= w.until {
			w.startAfresh()
			r.set(w, Verdict{Standing: Probation, Reason: w.verdict.Reason}, probationLife)
		}
	case Probation:
		switch {
		case w.tally().bad > 0:
			r.condemn(w, "failed again on probation")
		case w.good >= probationSuccesses || r.now >= w.until:
			r.acquit(w)
		}
	case Slow:
		if r.now >= w.until {
			r.endSlow(w)
		}
	default:
		if w.strikes > 0 && r.now-w.trustedSince >= strikesForgotten {
			w.strikes = 0
		}
	}
}

func (w *worker) startAfresh() {
	w.events, w.paces, w.good = nil, nil, 0
}

func (r *review) set(w *worker, to Verdict, lasts time.Duration) {
	w.verdict, w.until = to, r.now+lasts
	r.changes = append(r.changes, Change{WorkerID: w.id, Verdict: to, Until: w.until})
}

// condemn holds the worker back, each time for longer.
func (r *review) condemn(w *worker, reason string) {
	lasts := min(firstHold<<min(w.strikes, 10), maxHold)
	w.strikes++
	r.set(w, Verdict{Standing: Suspect, Reason: reason}, lasts)
}

func (r *review) acquit(w *worker) {
	w.startAfresh()
	w.trustedSince = r.now
	r.set(w, Verdict{Standing: Trusted}, 0)
}

// candidate is a worker that may have to be held back.
type candidate struct {
	subject Subject
	worker  *worker
	tally   tally
}

// condemnWorst holds workers back, the worst first. Each is compared with all
// others that are not held back yet.
func (r *review) condemnWorst(subjects []Subject) {
	var candidates []candidate
	for _, subject := range subjects {
		w, blemished := r.tracker.blemished[subject.ID]
		if blemished && (w.verdict.Standing == Trusted || w.verdict.Standing == Slow) {
			candidates = append(candidates, candidate{subject, w, w.tally()})
		}
	}
	slices.SortFunc(candidates, compareWorst)
	for _, c := range candidates {
		if !c.tally.condemns(r.all.sub(c.tally)) || !r.allows(c.subject, r.held) {
			continue
		}
		r.all = r.all.sub(c.tally)
		c.subject.count(r.held)
		r.condemn(c.worker, c.tally.reason())
	}
}

func compareWorst(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(b.tally.share(), a.tally.share()),
		cmp.Compare(b.tally.jobs, a.tally.jobs),
		cmp.Compare(a.subject.ID, b.subject.ID),
	)
}

func (a tally) reason() string {
	return fmt.Sprintf("work fails or stands still here and not elsewhere: weight %d against %d successes", a.bad, a.good)
}
