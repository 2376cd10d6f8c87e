package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// nomination is a task, or a whole gang, that is promised what preempted runs still
// have, as a pod is nominated to a node in Kubernetes. Its tasks count as running for
// limits, fair share and spread rules, but take part in no pass; they are placed once
// all that they need is free.
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

// nominationList owns the nominations.
type nominationList struct {
	// ordered are in the order in which they are placed.
	ordered []*nomination
}

func (l *nominationList) add(n *nomination) {
	at, _ := slices.BinarySearchFunc(l.ordered, n, compareNomination)
	l.ordered = slices.Insert(l.ordered, at, n)
}

func (l *nominationList) drop(n *nomination) {
	l.ordered = slices.DeleteFunc(l.ordered, func(other *nomination) bool { return other == n })
}

// all returns a copy: nominations end while they are looked at.
func (l *nominationList) all() []*nomination { return slices.Clone(l.ordered) }

// nominate promises targets to tasks and asks for the victims to be stopped. runs are
// the nominated runs of the members.
func (e *Engine) nominate(members []*waiting, runs []*run, victims []Preemption) {
	n := &nomination{members: members, runs: runs}
	for _, member := range members {
		e.backlog.dequeue(member)
		member.subQueue, member.nomination = nil, n
	}
	e.nominations.add(n)
	e.preemptor.request(victims)
	for _, r := range runs {
		if r.slot != nil {
			// The run may outlast its window.
			e.reservations.dropUnsupportedSlots(r.worker)
		}
	}
}

// cancelNomination ends a nomination: its tasks wait as others do. Runs that were asked
// to stop stay so.
func (e *Engine) cancelNomination(n *nomination) {
	e.nominations.drop(n)
	for _, r := range n.runs {
		e.end(r)
	}
	for _, member := range n.members {
		member.nomination = nil
		e.enqueue(member)
	}
}

// revokeNomination ends what a task that waits is promised, by its nomination or by the
// drain for its gang; nothing if it is promised none.
func (e *Engine) revokeNomination(w *waiting) {
	switch {
	case w.nomination != nil:
		e.cancelNomination(w.nomination)
	case e.gangDrains.isFor(w.subQueue):
		e.stopGangDrain()
	}
}

// revokeNominationOf is revokeNomination for the task of a nominated run.
func (e *Engine) revokeNominationOf(task record.TaskID) { e.revokeNomination(e.backlog.find(task)) }

// cancelNominationsOn ends the nominations that promise something on a worker.
func (e *Engine) cancelNominationsOn(w *worker) {
	for _, r := range w.sortedRuns(func(r *run) bool { return r.nominated }) {
		// A nomination that ended may have had several runs here.
		if _, open := w.runs[r]; open {
			e.revokeNominationOf(r.task)
		}
	}
}

// placeNominated places the nominations for which all that is promised is free. Those
// that no longer keep the rules end.
func (p *pass) placeNominated() {
	e := p.engine
	for _, n := range e.nominations.all() {
		placed := len(p.decisions)
		if placed >= p.limit || placed > 0 && placed+len(n.members) > p.limit {
			return
		}
		if n.isObsolete() {
			e.cancelNomination(n)
			continue
		}
		if !e.runs.claim(n) {
			continue
		}
		e.nominations.drop(n)
		for i, member := range n.members {
			p.recordDecision(member, n.runs[i])
		}
	}
}

// isObsolete reports whether a promised target no longer keeps the rules.
func (n *nomination) isObsolete() bool {
	for i, r := range n.runs {
		if !r.queue.CanRun(0) || breaksRule(r, n.members[i]) {
			return true
		}
	}
	return false
}

// breaksRule reports whether a nominated run no longer keeps the rules for its worker
// and slot.
func breaksRule(r *run, member *waiting) bool {
	c := member.class
	if !c.pool.matches(r.worker) || resources.IsNegative(r.worker.freeOnceStopped()) || !c.admitsNominated(r.worker) {
		return true
	}
	if c.spread != nil && !c.spread.holds(&r.worker.Worker) {
		return true
	}
	if r.inReservation {
		return r.slot == nil || !r.slot.reservation.openAt(c.clock.now)
	}
	return !respectsReservedSlots(r, member)
}

// respectsReservedSlots reports whether a run outside of reserved slots, if it starts
// now, takes nothing that they need.
func respectsReservedSlots(r *run, member *waiting) bool {
	if r.preemptible {
		return true
	}
	end := endOf(member.class.clock.now, member.Spec)
	for _, p := range r.worker.profile {
		if p.at < end && !fits(r.need, r.addNeedAt(p.slack, p.at)) {
			return false
		}
	}
	return true
}
