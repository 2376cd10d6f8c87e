package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/internal/placement/resources"
)

// nomination is a task, or a group whole, that is promised room which preempted runs
// still have. Its tasks count as running for limits, fairness and spread rules,
// but take part in no pass; they are placed once the room is there.
type nomination struct {
	members []*waiting
	// runs are the members' nominated runs, in the order of members.
	runs []*run
}

// compareNomination puts the highest priority first, then the lowest Sequence.
func compareNomination(a, b *nomination) int {
	return cmp.Or(
		cmp.Compare(b.members[0].Priority, a.members[0].Priority),
		compareWaiting(a.members[0], b.members[0]),
	)
}

// nominate promises seats to tasks and asks for the victims to be stopped.
// runs are the nominated runs of the members.
func (e *Engine) nominate(members []*waiting, runs []*run, victims []Preemption) {
	u := &nomination{members: members, runs: runs}
	for _, member := range members {
		e.backlog.dequeue(member)
		member.subQueue, member.nomination = nil, u
	}
	at, _ := slices.BinarySearchFunc(e.nominations, u, compareNomination)
	e.nominations = slices.Insert(e.nominations, at, u)
	e.preemptions = append(e.preemptions, victims...)
	for _, r := range runs {
		if r.slot != nil {
			e.reservations.dropUnsupportedSlots(r.worker)
		}
	}
}

// cancelNomination ends a nomination: its tasks wait as others do. Runs that were asked
// to stop stay so.
func (e *Engine) cancelNomination(u *nomination) {
	e.dropNomination(u)
	for _, r := range u.runs {
		e.end(r)
	}
	for _, member := range u.members {
		member.nomination = nil
		e.enqueue(member)
	}
}

// revokeNomination ends the nomination that a task is part of, if any.
func (e *Engine) revokeNomination(w *waiting) {
	switch {
	case w.nomination != nil:
		e.cancelNomination(w.nomination)
	case e.isDrainingFor(w.subQueue):
		e.stopGangDrain()
	}
}

func (e *Engine) dropNomination(u *nomination) {
	e.nominations = slices.DeleteFunc(e.nominations, func(other *nomination) bool { return other == u })
}

// cancelNominationsOn ends the nominations that promise room on a worker.
func (e *Engine) cancelNominationsOn(w *worker) {
	for _, r := range w.sortedRuns(func(r *run) bool { return r.nominated }) {
		// An earlier unit may have had several runs here.
		if _, open := w.runs[r]; open {
			e.revokeNomination(e.backlog.tasks[r.task])
		}
	}
}

// placeNominated places units whose room has come.
func (p *pass) placeNominated() {
	e := p.engine
	for _, u := range slices.Clone(e.nominations) {
		placed := len(p.decisions)
		if placed >= p.limit || placed > 0 && placed+len(u.members) > p.limit {
			return
		}
		if e.isObsolete(u) {
			e.cancelNomination(u)
			continue
		}
		if !e.runs.claim(u) {
			continue
		}
		e.dropNomination(u)
		for i, member := range u.members {
			p.recordDecision(member, u.runs[i])
		}
	}
}

// isObsolete reports whether a promised seat no longer keeps the rules.
func (e *Engine) isObsolete(u *nomination) bool {
	for i, r := range u.runs {
		if !r.queue.canRun(0) || e.breaksRule(r, u.members[i]) {
			return true
		}
	}
	return false
}

// breaksRule reports whether a nominated run no longer keeps the rules for its
// worker and slice.
func (e *Engine) breaksRule(r *run, member *waiting) bool {
	c := member.class
	if !c.pool.matches(r.worker) || resources.IsNegative(r.worker.freeOnceStopped()) || !c.stillAdmits(r.worker) {
		return true
	}
	if c.spread != nil && !c.spread.holds(&r.worker.Worker) {
		return true
	}
	if r.inReservation {
		return r.slot == nil || !r.slot.reservation.openAt(e.clock.now)
	}
	return !e.respectsReservedSlots(r, member)
}

// respectsReservedSlots reports whether a run outside of slices, if it starts now, takes
// no room from them.
func (e *Engine) respectsReservedSlots(r *run, member *waiting) bool {
	if r.preemptible {
		return true
	}
	end := endOf(e.clock.now, member.Spec)
	for _, p := range r.worker.profile {
		if p.at < end && !fits(r.need, r.addNeedAt(p.slack, p.at)) {
			return false
		}
	}
	return true
}
