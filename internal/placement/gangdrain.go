package placement

import (
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// A gang needs capacity for all members at once, and small tasks could take each piece of it
// as it comes free. So the capacity is drained for the gang that has waited longest at
// the highest priority: after gangDrainAfterPasses, members get their targets one by one
// as nominated runs, until all have one. Capacity is drained for one gang at a time, so
// that two cannot wait for each other, and for gangDrainMaxPasses at most, so that a gang
// that never gets complete does not keep it. While a service of its members is not highly
// utilized the drain ends sooner: nothing of that service is to wait for long with most
// of the capacity free.
const (
	gangDrainAfterPasses = 256
	gangDrainMaxPasses   = 4096
	// gangDrainSearchInterval is how many passes are between searches for such a gang.
	gangDrainSearchInterval = 64
	// gangDrainLowUtilizationLimit bounds a drain for a service that is not highly
	// utilized.
	gangDrainLowUtilizationLimit record.Millis = 2_000
)

// gangDrain is the gang for which capacity is drained now.
type gangDrain struct {
	gang *subQueue
	// since is the pass in which the drain started, startedAt the time of that pass.
	since     uint64
	startedAt record.Millis
	// runs are the nominated runs of the members that have a target.
	runs map[*waiting]*run
}

// gangDrainer owns the drain. It nominates runs for members; ending those runs and
// making them a nomination are left to the engine, as others may gain by it.
type gangDrainer struct {
	// closedToLongRunning has tasks that run until cancelled leave the drained
	// capacity alone as others do.
	closedToLongRunning bool
	// current is nil while capacity is drained for no gang.
	current *gangDrain
	// lastPass is the pass in which a drain was last given up: what waits goes first in
	// the next one.
	lastPass uint64

	clock  *clock
	finder *targetFinder
	runs   *runTable
}

func newGangDrainer(closedToLongRunning bool, clock *clock, finder *targetFinder, runs *runTable) *gangDrainer {
	return &gangDrainer{closedToLongRunning: closedToLongRunning, clock: clock, finder: finder, runs: runs}
}

// drainForGang drains capacity for the gang whose turn it is, and nominates the gang once
// all members have a target.
func (p *pass) drainForGang() {
	e, d := p.engine, p.engine.gangDrains
	if d.isDue() {
		d.start(e.backlog.gangs)
	}
	if !d.isDraining() {
		return
	}
	if d.hasExpired() || !d.isValid() {
		e.stopGangDrain()
		return
	}
	d.nominateMembers()
	if d.isComplete() {
		members, runs := d.finish()
		e.nominate(members, runs, nil)
	}
}

// stopGangDrain gives the drained capacity back.
func (e *Engine) stopGangDrain() {
	gang, runs := e.gangDrains.stop()
	for _, r := range runs {
		e.end(r)
	}
	gang.reconsider()
}

// isDue reports whether the pass is one that looks for a gang.
func (d *gangDrainer) isDue() bool {
	isRested := d.clock.pass > d.lastPass+1
	return d.current == nil && isRested && d.clock.pass%gangDrainSearchInterval == 0
}

// start picks the gang that waits longest, of the highest priority.
func (d *gangDrainer) start(gangs map[string]*subQueue) {
	var first *subQueue
	for _, gang := range gangs {
		if d.hasWaitedLong(gang) && gang.complete() && gang.couldDrain() && (first == nil || gang.drainsBefore(first)) {
			first = gang
		}
	}
	if first != nil {
		first.deactivate()
		d.current = &gangDrain{gang: first, since: d.clock.pass, startedAt: d.clock.now, runs: map[*waiting]*run{}}
	}
}

func (d *gangDrainer) hasWaitedLong(gang *subQueue) bool {
	return gang.unschedulableSince != 0 && d.clock.pass-gang.unschedulableSince >= gangDrainAfterPasses
}

// isDraining reports whether capacity is drained for some gang.
func (d *gangDrainer) isDraining() bool { return d.current != nil }

// isFor reports whether capacity is drained for the gang.
func (d *gangDrainer) isFor(gang *subQueue) bool { return d.current != nil && d.current.gang == gang }

// hasExpired reports whether the drain must be given up, or is in vain.
func (d *gangDrainer) hasExpired() bool {
	g := d.current
	if d.clock.pass-g.since > gangDrainMaxPasses || d.clock.pass%gangDrainSearchInterval == 0 && !g.gang.fitsOnIdleWorkers() {
		return true
	}
	return d.clock.now-g.startedAt > gangDrainLowUtilizationLimit && g.gang.hasServiceAtLowUtilization()
}

// isValid reports whether the limits still allow the gang, and the nominated runs still
// keep the rules.
func (d *gangDrainer) isValid() bool {
	g := d.current
	if !g.gang.parent.queue.CanRun(len(g.gang.tasks) - len(g.runs)) {
		return false
	}
	for member, r := range g.runs {
		if breaksRule(r, member) {
			return false
		}
	}
	return true
}

// nominateMembers promises targets that are free now to members that have none.
func (d *gangDrainer) nominateMembers() {
	g := d.current
	for _, member := range d.finder.placementOrder(g.gang.tasks) {
		if g.runs[member] != nil {
			continue
		}
		if to, found := d.finder.findTarget(member); found {
			g.runs[member] = d.runs.nominate(&member.Task, to)
		}
	}
}

// isComplete reports whether all members have a target.
func (d *gangDrainer) isComplete() bool { return len(d.current.runs) == len(d.current.gang.tasks) }

// finish ends a drain that is complete. It returns the members with their runs.
func (d *gangDrainer) finish() ([]*waiting, []*run) {
	g := d.current
	d.current = nil
	members := d.finder.placementOrder(g.gang.tasks)
	return members, g.runsOf(members)
}

// stop ends a drain that is given up. It returns the gang, and the runs to end.
func (d *gangDrainer) stop() (*subQueue, []*run) {
	g := d.current
	d.current, d.lastPass = nil, d.clock.pass
	g.gang.unschedulableSince = d.clock.pass
	return g.gang, g.runsOf(d.finder.placementOrder(g.members()))
}

// retry has open try once more with the drained capacity, if the sub-queue may take that.
// What open leaves of it stays drained.
func (d *gangDrainer) retry(sub *subQueue, open func() bool) {
	g := d.current
	if g == nil || len(g.runs) == 0 || d.closedToLongRunning || !sub.runsUntilCancelled() {
		return
	}
	members := d.finder.placementOrder(g.members())
	targets := make([]placementTarget, len(members))
	for i, member := range members {
		r := g.runs[member]
		targets[i] = placementTarget{worker: r.worker, slot: r.slot}
		d.runs.close(r)
	}
	sub.resetFitCounts()
	opened := open()
	for i, member := range members {
		if opened && !member.class.isTargetFeasible(targets[i]) {
			delete(g.runs, member)
			d.runs.workers.addChanged(targets[i].worker)
			continue
		}
		g.runs[member] = d.runs.renominate(&member.Task, targets[i], g.runs[member].started)
	}
	sub.resetFitCounts()
}

// members returns those that have a target, in no order.
func (g *gangDrain) members() []*waiting {
	members := make([]*waiting, 0, len(g.runs))
	for member := range g.runs {
		members = append(members, member)
	}
	return members
}

func (g *gangDrain) runsOf(members []*waiting) []*run {
	runs := make([]*run, 0, len(members))
	for _, member := range members {
		runs = append(runs, g.runs[member])
	}
	return runs
}

// drainsBefore orders gangs for which capacity may be drained.
func (sub *subQueue) drainsBefore(other *subQueue) bool {
	if sub.parent.level.priority != other.parent.level.priority {
		return sub.parent.level.priority > other.parent.level.priority
	}
	return compareWaiting(sub.tasks[0], other.tasks[0]) < 0
}

// couldDrain reports whether the limits allow the gang now, and it fits once what ends by
// itself has ended.
func (sub *subQueue) couldDrain() bool {
	return sub.parent.queue.CanRun(len(sub.tasks)) && sub.fitsOnIdleWorkers()
}

// fitsOnIdleWorkers reports whether workers on which nothing ran but what runs until
// cancelled would have capacity for the members of each class.
func (sub *subQueue) fitsOnIdleWorkers() bool {
	for _, m := range sub.members {
		if m.class.fitCountOnIdleWorkers(m.count) < m.count {
			return false
		}
	}
	return true
}

// hasServiceAtLowUtilization reports whether the service of a member is not highly
// utilized.
func (sub *subQueue) hasServiceAtLowUtilization() bool {
	return slices.ContainsFunc(sub.members, func(m memberCount) bool { return !m.class.isHighlyUtilized() })
}
