package placement

import (
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// A gang needs capacity for all members at once, and small tasks could take each piece of
// it as soon as it is freed. So capacity is drained for a gang that has waited for
// gangDrainAfterPasses, the first by priority, then by Sequence: its members get targets
// one by one, as nominated runs, until all have one. Only one gang at a time has capacity
// drained for it, so that two gangs cannot wait for each other. A drain lasts for
// gangDrainMaxPasses at most, so that a gang that never gets all its targets does not
// hold the capacity forever. While the service of a member is not highly utilized the
// drain ends sooner: no task of that service should wait for long while much of the
// capacity is free.
const (
	gangDrainAfterPasses = 256
	gangDrainMaxPasses   = 4096
	// gangDrainSearchInterval is the number of passes between searches for a gang to
	// drain for.
	gangDrainSearchInterval = 64
	// gangDrainLowUtilizationLimit bounds the duration of a drain while the service of a
	// member is not highly utilized.
	gangDrainLowUtilizationLimit record.Millis = 2_000
)

// gangDrain is a drain of capacity for one gang.
type gangDrain struct {
	gang *subQueue
	// startPass is the pass in which the drain started, startTime the cluster time of
	// that pass.
	startPass uint64
	startTime record.Millis
	// runs are the nominated runs of the members that have a target.
	runs map[*waitingTask]*run
}

// gangDrainer owns the current drain and nominates runs for the gang's members. The
// engine ends these runs or turns them into a nomination, because that also affects other
// tasks.
type gangDrainer struct {
	// closedToLongRunning keeps tasks that run until cancelled off the drained capacity,
	// like other tasks. By default they may use it.
	closedToLongRunning bool
	// current is the drain in progress; nil if there is none.
	current *gangDrain
	// lastStopPass is the pass in which a drain was last given up. No drain starts in the
	// pass after it, so that waiting tasks get the capacity first.
	lastStopPass uint64

	clock  *clock
	finder *targetFinder
	runs   *runTable
}

func newGangDrainer(closedToLongRunning bool, clock *clock, finder *targetFinder, runs *runTable) *gangDrainer {
	return &gangDrainer{closedToLongRunning: closedToLongRunning, clock: clock, finder: finder, runs: runs}
}

// drainForGang starts, continues or gives up the drain, and nominates the gang once all
// members have a target.
func (p *pass) drainForGang() {
	e, d := p.engine, p.engine.gangDrains
	if d.isDue() {
		d.start(e.backlog.gangs)
	}
	if !d.isDraining() {
		return
	}
	if d.shouldStop() || !d.isValid() {
		e.stopGangDrain()
		return
	}
	d.nominateMembers()
	if d.isComplete() {
		members, runs := d.finish()
		e.nominate(members, runs, nil)
	}
}

// stopGangDrain gives up the drain, ends its nominated runs and activates the gang.
func (e *Engine) stopGangDrain() {
	gang, runs := e.gangDrains.stop()
	for _, r := range runs {
		e.closeRun(r)
	}
	gang.reconsider()
}

// isDue reports whether this pass searches for a gang to drain for.
func (d *gangDrainer) isDue() bool {
	cooledDown := d.clock.pass > d.lastStopPass+1
	return d.current == nil && cooledDown && d.clock.pass%gangDrainSearchInterval == 0
}

// start starts a drain for the first gang by priority, then by Sequence, of those that
// have waited long, are complete and could be drained for.
func (d *gangDrainer) start(gangs map[string]*subQueue) {
	var first *subQueue
	for _, gang := range gangs {
		if d.hasWaitedLong(gang) && gang.isComplete() && gang.couldDrain() && (first == nil || gang.drainsBefore(first)) {
			first = gang
		}
	}
	if first != nil {
		first.deactivate()
		d.current = &gangDrain{gang: first, startPass: d.clock.pass, startTime: d.clock.now, runs: map[*waitingTask]*run{}}
	}
}

func (d *gangDrainer) hasWaitedLong(gang *subQueue) bool {
	return gang.unschedulableSince != 0 && d.clock.pass-gang.unschedulableSince >= gangDrainAfterPasses
}

// isDraining reports whether a drain is in progress.
func (d *gangDrainer) isDraining() bool { return d.current != nil }

// isDrainingFor reports whether capacity is drained for the gang.
func (d *gangDrainer) isDrainingFor(gang *subQueue) bool {
	return d.current != nil && d.current.gang == gang
}

// shouldStop reports whether the drain must be given up: it has exceeded a bound, or the
// gang would no longer fit even once the runs that have an end are over.
func (d *gangDrainer) shouldStop() bool {
	g := d.current
	if d.clock.pass-g.startPass > gangDrainMaxPasses || d.clock.pass%gangDrainSearchInterval == 0 && !g.gang.fitsOnIdleWorkers() {
		return true
	}
	return d.clock.now-g.startTime > gangDrainLowUtilizationLimit && g.gang.hasServiceAtLowUtilization()
}

// isValid reports whether the limits still allow the gang, and the nominated runs still
// comply with the rules.
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

// nominateMembers nominates members that have no target for targets that are free now.
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

// finish ends a complete drain. It returns the members and their runs in the same order.
func (d *gangDrainer) finish() ([]*waitingTask, []*run) {
	g := d.current
	d.current = nil
	members := d.finder.placementOrder(g.gang.tasks)
	return members, g.runsOf(members)
}

// stop ends a drain that is given up. It returns the gang, and the runs that the caller
// must end. The gang must wait for gangDrainAfterPasses again before the next drain.
func (d *gangDrainer) stop() (*subQueue, []*run) {
	g := d.current
	d.current, d.lastStopPass = nil, d.clock.pass
	g.gang.unschedulableSince = d.clock.pass
	return g.gang, g.runsOf(d.finder.placementOrder(g.membersWithTarget()))
}

// retry lets a sub-queue that runs until cancelled use the drained capacity: it closes
// the nominated runs, calls openRuns, which reports whether it opened any, and nominates
// again each target that openRuns left free. Fits are counted anew before and after. It
// does nothing if there is no drained capacity or the sub-queue may not use it.
func (d *gangDrainer) retry(sub *subQueue, openRuns func() bool) {
	g := d.current
	if g == nil || len(g.runs) == 0 || d.closedToLongRunning || !sub.runsUntilCancelled() {
		return
	}
	members := d.finder.placementOrder(g.membersWithTarget())
	targets := make([]placementTarget, len(members))
	for i, member := range members {
		r := g.runs[member]
		targets[i] = placementTarget{worker: r.worker, slot: r.slot}
		d.runs.close(r)
	}
	sub.resetFitCounts()
	opened := openRuns()
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

// membersWithTarget returns the members that have a target, in no order.
func (g *gangDrain) membersWithTarget() []*waitingTask {
	members := make([]*waitingTask, 0, len(g.runs))
	for member := range g.runs {
		members = append(members, member)
	}
	return members
}

func (g *gangDrain) runsOf(members []*waitingTask) []*run {
	runs := make([]*run, 0, len(members))
	for _, member := range members {
		runs = append(runs, g.runs[member])
	}
	return runs
}

// drainsBefore orders the gangs to drain for: by priority, then by Sequence.
func (sub *subQueue) drainsBefore(other *subQueue) bool {
	if sub.parent.level.priority != other.parent.level.priority {
		return sub.parent.level.priority > other.parent.level.priority
	}
	return compareWaiting(sub.tasks[0], other.tasks[0]) < 0
}

// couldDrain reports whether the limits allow the gang now, and it fits once all runs
// that have an end are over.
func (sub *subQueue) couldDrain() bool {
	return sub.parent.queue.CanRun(len(sub.tasks)) && sub.fitsOnIdleWorkers()
}

// fitsOnIdleWorkers reports whether all members of each class, counted alone, would fit if
// the workers had no runs except those that run until cancelled.
func (sub *subQueue) fitsOnIdleWorkers() bool {
	for _, m := range sub.members {
		if m.class.fitCountOnIdleWorkers(m.count) < m.count {
			return false
		}
	}
	return true
}

// hasServiceAtLowUtilization reports whether the service of some member is not highly
// utilized.
func (sub *subQueue) hasServiceAtLowUtilization() bool {
	return slices.ContainsFunc(sub.members, func(m memberCount) bool { return !m.class.isHighlyUtilized() })
}
