package placement

import "github.com/decklever/decklever/internal/placement/fairshare"

// pass is one call of Plan: it goes through the backlog, highest priority first, and ends
// when the limit is reached or no schedulable queue is left.
type pass struct {
	engine    *Engine
	limit     int
	decisions []Decision
	// allowance bounds the preemption work of the pass.
	allowance allowance
}

// Plan implements Planner. The order of the steps matters. Values that all searches use
// are refreshed first. Pending slots are assigned before other tasks can take their
// capacity, and nominated tasks are placed before their promised capacity can go to
// others. Only then are unschedulable classes compared with the changed workers, since
// both steps take capacity of these workers. The drain for a gang precedes the backlog,
// because small tasks of the backlog would otherwise take each piece of capacity as it is
// released.
//
// The cost of a pass depends on what it places, what changed since the last pass and what
// is active, not on the number of waiting tasks.
func (e *Engine) Plan(limit int) []Decision {
	e.clock.beginPass()
	e.workers.refresh()
	e.preferred.refreshWorkers()
	if e.needsUtilization() {
		e.workers.countUtilization(e.utilization)
		e.classes.activateAtLowUtilization()
	}
	p := &pass{engine: e, limit: limit, allowance: newAllowance()}
	e.reservations.assignSlots(e.workers.pendingChanges())
	p.placeNominated()
	activateForChangedWorkers(e.workers.takeChanged())
	p.drainForGang()
	e.preemptor.retries.activate(e.runs)
	e.backfill.dropStale()
	e.backfill.activateBlocked()
	for _, level := range e.backlog.planOrder() {
		if !p.planLevel(level) {
			break
		}
	}
	return p.decisions
}

// needsUtilization reports whether any rule depends on the utilization of services.
// Otherwise utilization is not counted.
func (e *Engine) needsUtilization() bool {
	return e.queues.NeedsUtilization() || e.workers.anyRestricted() || e.gangDrains.isDraining()
}

// planLevel places waiting tasks of one priority. It returns false once the pass is over.
func (p *pass) planLevel(level *priorityLevel) bool {
	queues := level.activeQueues()
	reservations := p.engine.backfill.begin(level, p.engine.queues.MayDefer())
	defer reservations.end(level)
	for len(p.decisions) < p.limit {
		next := nextQueue(queues, reservations.competing)
		if next == nil {
			return true
		}
		if !p.planNext(next, reservations) {
			return false
		}
	}
	return false
}

// planSubQueue places the first task of the sub-queue, or its gang, or deactivates the
// sub-queue. It returns false once the pass is over.
func (p *pass) planSubQueue(sub *subQueue) bool {
	if sub.class == nil {
		return p.placeGang(sub)
	}
	if sub.class.unschedulable && !sub.mayPreemptNow {
		p.engine.preemptor.retries.add(sub)
		sub.deactivate()
		return true
	}
	first := sub.tasks[0]
	if !sub.class.unschedulable {
		if opened := p.startSingle(first); opened != nil {
			p.recordDecision(first, opened)
			return true
		}
	}
	p.preemptOrDeactivate(sub)
	return true
}

// startSingle opens a run of a task that is not in a gang. It returns nil if there is no
// target.
func (p *pass) startSingle(task *waitingTask) *run {
	var opened *run
	open := func() bool {
		if to, found := p.engine.finder.findTarget(task); found {
			opened = p.engine.runs.start(&task.Task, to)
		}
		return opened != nil
	}
	if !open() {
		p.engine.gangDrains.retry(task.subQueue, open)
	}
	return opened
}

// recordDecision adds the decision and removes the task from the waiting tasks.
func (p *pass) recordDecision(placed *waitingTask, opened *run) {
	on := opened.worker
	if p.engine.needsUtilization() {
		p.engine.utilization.AddRun(on.Services, opened.need)
	}
	p.decisions = append(p.decisions, Decision{
		Task:     placed.ID,
		WorkerID: on.ID,
		Worker:   on.Name,
		Gang:     placed.Gang,
	})
	p.engine.removeWaiting(placed)
	if opened.slot != nil {
		// The run may outlast its window and then need capacity that other windows
		// reserve.
		p.engine.reservations.dropUnsupportedSlots(on)
	}
}

// activeQueues returns the schedulable queues of the level.
func (level *priorityLevel) activeQueues() []*priorityQueue {
	var queues []*priorityQueue
	for _, q := range level.queues {
		if q.isSchedulable() {
			queues = append(queues, q)
		}
	}
	return queues
}

// isSchedulable reports whether the queue has an active sub-queue and may open one more
// run.
func (q *priorityQueue) isSchedulable() bool { return len(q.active) > 0 && q.queue.CanRun(1) }

// nextQueue returns the schedulable queue with the lowest share, ties by the lowest
// Sequence; nil if there is none. This is weighted max-min fairness over one resource,
// the number of runs: each time, the queue furthest below its share is served next.
// Queues with BySlack count as one queue; mostUrgent selects the one of them to serve
// first.
func nextQueue(queues []*priorityQueue, competing competingQueues) *priorityQueue {
	var best *priorityQueue
	var combined fairshare.CombinedShare
	for _, q := range queues {
		if !q.isSchedulable() {
			continue
		}
		if !q.queue.Rule().BySlack {
			if best == nil || q.before(best) {
				best = q
			}
			continue
		}
		combined.Add(q.queue)
	}
	urgent := competing.mostUrgent(queues)
	switch {
	case urgent == nil:
		return best
	case best == nil:
		return urgent
	}
	byShare := combined.Compare(best.queue)
	if byShare < 0 || byShare == 0 && urgent.hasEarlierTask(best) {
		return urgent
	}
	return best
}

// hasEarlierTask reports whether the first task of the queue has a lower Sequence than
// that of other.
func (q *priorityQueue) hasEarlierTask(other *priorityQueue) bool {
	return compareWaiting(q.active[0].tasks[0], other.active[0].tasks[0]) < 0
}

// before orders queues without BySlack: by share, ties by the lowest Sequence.
func (q *priorityQueue) before(other *priorityQueue) bool {
	if byShare := fairshare.Compare(q.queue, other.queue); byShare != 0 {
		return byShare < 0
	}
	return q.hasEarlierTask(other)
}
