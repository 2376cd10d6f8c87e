package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// nomination is a task, or a complete gang, to which capacity is promised that preempted
// runs still hold or that was drained for it, as a pod is nominated to a node in
// Kubernetes. Its tasks count as running for limits, fair share and spread rules, but
// take no part in passes; they are placed once all the capacity they need is free.
type nomination struct {
	members []*waitingTask
	// runs are the members' nominated runs, in the order of members.
	runs []*run
}

// compareNomination orders by priority, highest first, then by Sequence.
func compareNomination(a, b *nomination) int {
	return cmp.Or(
		cmp.Compare(b.members[0].Priority, a.members[0].Priority),
		compareWaiting(a.members[0], b.members[0]),
	)
}

// nominationList owns the nominations.
type nominationList struct {
	// ordered are the nominations in the order in which they are placed.
	ordered []*nomination
}

func (l *nominationList) add(n *nomination) {
	at, _ := slices.BinarySearchFunc(l.ordered, n, compareNomination)
	l.ordered = slices.Insert(l.ordered, at, n)
}

func (l *nominationList) drop(n *nomination) {
	l.ordered = slices.DeleteFunc(l.ordered, func(other *nomination) bool { return other == n })
}

// all returns a copy, so that nominations can be dropped while the caller iterates.
func (l *nominationList) all() []*nomination { return slices.Clone(l.ordered) }

// nominate takes tasks out of their sub-queues and promises targets to them, as a
// nomination, and requests that the victims be stopped. runs are the nominated runs of
// the members, in the same order.
func (e *Engine) nominate(members []*waitingTask, runs []*run, victims []Preemption) {
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

// cancelNomination ends a nomination and enqueues its tasks again. Runs that were asked
// to stop for it still stop.
func (e *Engine) cancelNomination(n *nomination) {
	e.nominations.drop(n)
	for _, r := range n.runs {
		e.closeRun(r)
	}
	for _, member := range n.members {
		member.nomination = nil
		e.enqueue(member)
	}
}

// revokeNomination ends the promise to a waiting task: its nomination, or the drain for
// its gang. It does nothing if the task is promised nothing.
func (e *Engine) revokeNomination(w *waitingTask) {
	switch {
	case w.nomination != nil:
		e.cancelNomination(w.nomination)
	case e.gangDrains.isDrainingFor(w.subQueue):
		e.stopGangDrain()
	}
}

// revokeNominationOf is revokeNomination for the task of a nominated run.
func (e *Engine) revokeNominationOf(task record.TaskID) { e.revokeNomination(e.backlog.find(task)) }

// cancelNominationsOn ends the nominations and the drain that have nominated runs on a
// worker.
func (e *Engine) cancelNominationsOn(w *worker) {
	for _, r := range w.sortedRuns(func(r *run) bool { return r.nominated }) {
		// A gang's nomination has several runs: an earlier iteration may have ended this one.
		if _, open := w.runs[r]; open {
			e.revokeNominationOf(r.task)
		}
	}
}

// placeNominated places the nominations for which all promised capacity is free, up to
// the limit of the pass, and cancels those that no longer comply with the rules.
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

// isObsolete reports whether a promised target no longer complies with the rules.
func (n *nomination) isObsolete() bool {
	for i, r := range n.runs {
		if !r.queue.CanRun(0) || breaksRule(r, n.members[i]) {
			return true
		}
	}
	return false
}

// breaksRule reports whether a nominated run no longer complies with the rules for its
// worker and slot.
func breaksRule(r *run, member *waitingTask) bool {
	c := member.class
	if !c.pool.matches(r.worker) || resources.IsNegative(r.worker.freeOnceStopped()) || !c.admitsNominated(r.worker) {
		return true
	}
	if c.spread != nil && !c.spread.isSatisfiedOn(&r.worker.Worker) {
		return true
	}
	if r.inReservation {
		return r.slot == nil || !r.slot.reservation.openAt(c.clock.now)
	}
	return !respectsReservedSlots(r, member)
}

// respectsReservedSlots reports whether a run outside of reserved slots, if it starts
// now, takes no capacity that the slots need.
func respectsReservedSlots(r *run, member *waitingTask) bool {
	if r.preemptible {
		return true
	}
	end := endOf(member.class.clock.now, member.Spec)
	for _, p := range r.worker.profile {
		if p.at < end && !fits(r.need, r.addBackNeedAt(p.slack, p.at)) {
			return false
		}
	}
	return true
}
