package placement

import (
	"cmp"
	"slices"
)

// unit is a task, or a group whole, that is promised room which preempted runs
// still have. Its tasks count as running for limits, fairness and spread rules,
// but take part in no pass; they are placed once the room is there.
type unit struct {
	members []*waiting
	// runs are the members' nominated runs, in the order of members.
	runs []*run
}

// compareUnit puts the highest priority first, then the lowest Sequence.
func compareUnit(a, b *unit) int {
	return cmp.Or(
		cmp.Compare(b.members[0].Priority, a.members[0].Priority),
		compareWaiting(a.members[0], b.members[0]),
	)
}

// nominate promises seats to tasks and asks for the victims to be stopped.
// runs are the nominated runs of the members.
func (e *Engine) nominate(members []*waiting, runs []*run, victims []Preemption) {
	u := &unit{members: members, runs: runs}
	for _, member := range members {
		e.takeFromLane(member)
		member.lane, member.unit = nil, u
	}
	at, _ := slices.BinarySearchFunc(e.units, u, compareUnit)
	e.units = slices.Insert(e.units, at, u)
	e.preemptions = append(e.preemptions, victims...)
	for _, r := range runs {
		if r.slice != nil {
			e.settle(r.worker)
		}
	}
}

// cancel ends a nomination: its tasks wait as others do. Runs that were asked
// to stop stay so.
func (e *Engine) cancel(u *unit) {
	e.dropUnit(u)
	for _, r := range u.runs {
		e.end(r)
	}
	for _, member := range u.members {
		member.unit = nil
		e.enlane(member)
	}
}

// takeBackPromise ends the nomination that a task is part of, if any.
func (e *Engine) takeBackPromise(w *waiting) {
	switch {
	case w.unit != nil:
		e.cancel(w.unit)
	case e.isGathering(w.lane):
		e.stopGathering()
	}
}

func (e *Engine) dropUnit(u *unit) {
	e.units = slices.DeleteFunc(e.units, func(other *unit) bool { return other == u })
}

// cancelOn ends the nominations that promise room on a worker.
func (e *Engine) cancelOn(w *worker) {
	for _, r := range w.sortedRuns(func(r *run) bool { return r.nominated }) {
		// An earlier unit may have had several runs here.
		if _, open := w.runs[r]; open {
			e.takeBackPromise(e.waiting[r.task])
		}
	}
}

// placeNominated places units whose room has come.
func (p *pass) placeNominated() {
	e := p.engine
	for _, u := range slices.Clone(e.units) {
		placed := len(p.decisions)
		if placed >= p.limit || placed > 0 && placed+len(u.members) > p.limit {
			return
		}
		if e.isObsolete(u) {
			e.cancel(u)
			continue
		}
		if !e.moveIn(u) {
			continue
		}
		e.dropUnit(u)
		for i, member := range u.members {
			e.runs[u.runs[i].task] = u.runs[i]
			p.decide(member, u.runs[i])
		}
	}
}

// isObsolete reports whether a promised seat no longer keeps the rules.
func (e *Engine) isObsolete(u *unit) bool {
	for i, r := range u.runs {
		if !r.queue.mayRun(0) || e.breaksRule(r, u.members[i]) {
			return true
		}
	}
	return false
}

// breaksRule reports whether a nominated run no longer keeps the rules for its
// worker and slice.
func (e *Engine) breaksRule(r *run, member *waiting) bool {
	c := member.class
	if !c.pool.matches(r.worker) || isNegative(r.worker.coming()) || !c.keeps(r.worker) {
		return true
	}
	if c.spread != nil && !c.spread.holds(&r.worker.Worker) {
		return true
	}
	if r.booked {
		return r.slice == nil || !r.slice.reservation.openAt(e.now)
	}
	return !e.keepsSlices(r, member)
}

// keepsSlices reports whether a run outside of slices, if it starts now, takes
// no room from them.
func (e *Engine) keepsSlices(r *run, member *waiting) bool {
	if r.preemptible {
		return true
	}
	end := endOf(e.now, member.Spec)
	for _, p := range r.worker.points {
		if p.at < end && !fits(r.need, r.addTo(p.slack, p.at)) {
			return false
		}
	}
	return true
}

// moveIn turns nominated runs into open ones if the room of all is there.
func (e *Engine) moveIn(u *unit) bool {
	for i, r := range u.runs {
		if !fits(r.need, r.worker.physical()) {
			for _, moved := range u.runs[:i] {
				e.countVictim(moved, -1)
				e.workers.reaccount(moved, func() { moved.nominated = true })
			}
			return false
		}
		e.workers.reaccount(r, func() {
			r.nominated = false
			r.startAt(e.now, u.members[i].Spec)
		})
		e.countVictim(r, 1)
	}
	return true
}
