package placement

import (
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// A group needs all its places at once, and small tasks could take each place
// as it comes free. So the group that has waited longest at the highest
// priority gets its places one by one: after gangDrainAfterPasses passes, room that fits
// a member is put aside until all have some. One group gathers at a time, so
// that two cannot wait for each other's room, and gives up after gangDrainMaxPasses
// passes, so that one that never gets whole does not keep the room. While a service
// of its members is not crowded it gives up sooner: nothing of that service shall
// stand still for long with most of the room free.
const (
	gangDrainAfterPasses = 256
	gangDrainMaxPasses   = 4096
	// gangDrainSearchInterval is how many passes are between searches for such a group.
	gangDrainSearchInterval = 64
	// gangDrainLowUtilizationLimit is how long room of a service that is not crowded is put aside.
	gangDrainLowUtilizationLimit record.Millis = 2_000
)

// gangDrain is a group for which room is put aside.
type gangDrain struct {
	gang  *subQueue
	since uint64
	// startedAt is the time of that pass.
	startedAt record.Millis
	// runs are the nominated runs of the members that have room.
	runs map[*waiting]*run
}

// drainForGang puts room aside for the group whose turn it is, and places it once it
// is whole.
func (p *pass) drainForGang() {
	e := p.engine
	isRested := e.clock.pass > e.lastDrainPass+1
	if e.gangDrain == nil && isRested && e.clock.pass%gangDrainSearchInterval == 0 {
		e.startGangDrain()
	}
	g := e.gangDrain
	if g == nil {
		return
	}
	if e.hasDrainExpired(g) || !e.isDrainValid(g) {
		e.stopGangDrain()
		return
	}
	for _, member := range e.finder.placementOrder(g.gang.tasks) {
		if g.runs[member] != nil {
			continue
		}
		if to, found := e.finder.findTarget(member); found {
			g.runs[member] = e.runs.nominate(&member.Task, to)
		}
	}
	if len(g.runs) == len(g.gang.tasks) {
		e.finishGangDrain(g)
	}
}

// hasDrainExpired reports whether the group must give up, or gathers in vain.
func (e *Engine) hasDrainExpired(g *gangDrain) bool {
	if e.clock.pass-g.since > gangDrainMaxPasses || e.clock.pass%gangDrainSearchInterval == 0 && !g.gang.fitsOnIdleWorkers() {
		return true
	}
	return e.clock.now-g.startedAt > gangDrainLowUtilizationLimit && slices.ContainsFunc(g.gang.members, func(m memberCount) bool { return !m.class.isHighlyUtilized() })
}

// startGangDrain picks the group that waits longest, of the highest priority.
func (e *Engine) startGangDrain() {
	var longest *subQueue
	for _, l := range e.backlog.gangs {
		if l.unschedulableSince == 0 || e.clock.pass-l.unschedulableSince < gangDrainAfterPasses || !l.complete() || !e.canDrainFor(l) {
			continue
		}
		if longest == nil || l.drainsBefore(longest) {
			longest = l
		}
	}
	if longest != nil {
		longest.deactivate()
		e.gangDrain = &gangDrain{gang: longest, since: e.clock.pass, startedAt: e.clock.now, runs: map[*waiting]*run{}}
	}
}

func (l *subQueue) drainsBefore(other *subQueue) bool {
	if l.parent.level.priority != other.parent.level.priority {
		return l.parent.level.priority > other.parent.level.priority
	}
	return compareWaiting(l.tasks[0], other.tasks[0]) < 0
}

// canDrainFor reports whether the limits allow the group now, and it has places
// enough once what ends by itself has ended.
func (e *Engine) canDrainFor(l *subQueue) bool {
	return l.parent.queue.canRun(len(l.tasks)) && l.fitsOnIdleWorkers()
}

// fitsOnIdleWorkers reports whether workers on which nothing ran but what runs
// until cancelled would have places enough for each class.
func (l *subQueue) fitsOnIdleWorkers() bool {
	for _, m := range l.members {
		if m.class.fitCountOnIdleWorkers(m.count) < m.count {
			return false
		}
	}
	return true
}

// isDrainValid reports whether the limits still allow the group, and the room put
// aside still keeps the rules.
func (e *Engine) isDrainValid(g *gangDrain) bool {
	if !g.gang.parent.queue.canRun(len(g.gang.tasks) - len(g.runs)) {
		return false
	}
	for member, r := range g.runs {
		if breaksRule(r, member) {
			return false
		}
	}
	return true
}

// stopGangDrain gives the room back.
func (e *Engine) stopGangDrain() {
	g := e.gangDrain
	e.gangDrain, e.lastDrainPass = nil, e.clock.pass
	g.gang.unschedulableSince = e.clock.pass
	for _, member := range e.finder.placementOrder(g.members()) {
		e.end(g.runs[member])
	}
	g.gang.reconsider()
}

// isDrainingFor reports whether room is put aside for the group.
func (e *Engine) isDrainingFor(l *subQueue) bool { return e.gangDrain != nil && e.gangDrain.gang == l }

func (g *gangDrain) members() []*waiting {
	members := make([]*waiting, 0, len(g.runs))
	for member := range g.runs {
		members = append(members, member)
	}
	return members
}

// finishGangDrain makes the group a unit, which is placed as others are.
func (e *Engine) finishGangDrain(g *gangDrain) {
	e.gangDrain = nil
	members := e.finder.placementOrder(g.gang.tasks)
	runs := make([]*run, 0, len(members))
	for _, member := range members {
		runs = append(runs, g.runs[member])
	}
	e.nominate(members, runs, nil)
}
