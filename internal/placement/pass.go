package placement

import "github.com/decklever/decklever/internal/placement/fairshare"

// pass is one call of Plan: a round over the backlog, highest priority first, that ends
// with the limit or when nothing active is left.
type pass struct {
	engine    *Engine
	limit     int
	decisions []Decision
	// allowance bounds what the pass spends on preemption.
	allowance allowance
}

// Plan implements Planner. The order of its steps matters. Measures that all searches
// use are renewed first. Pending slots are assigned before other work could take their
// capacity, and nominated tasks are placed before what they were promised could go to
// others. Only then are unschedulable classes compared with the workers that changed,
// since both steps take from these. The drain for a gang comes before the backlog, or
// the small tasks in it would take each piece that came free.
//
// A pass costs what it places, what changed since the last one and what is active, not
// what waits.
func (e *Engine) Plan(limit int) []Decision {
	e.clock.beginPass()
	e.workers.refresh()
	e.preferred.refresh()
	if e.needsUtilization() {
		e.workers.countUtilization(e.utilization)
		e.classes.activateAtLowUtilization()
	}
	p := &pass{engine: e, limit: limit, allowance: newAllowance()}
	e.reservations.assignSlots(e.workers.pendingChanges())
	p.placeNominated()
	activateOn(e.workers.takeChanged())
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

// needsUtilization reports whether anything depends on the utilization of services. It
// is not counted while nothing does.
func (e *Engine) needsUtilization() bool {
	return e.queues.NeedsUtilization() || e.workers.anyRestricted() || e.gangDrains.isDraining()
}

// planLevel places what waits with one priority. It returns false once the pass is over.
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

// planSubQueue places the first task of the sub-queue, or its gang, or takes the
// sub-queue out of this and later passes. It returns false once the pass is over.
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
		if opened := p.openOne(first); opened != nil {
			p.recordDecision(first, opened)
			return true
		}
	}
	p.preemptOrBlock(sub)
	return true
}

// openOne opens a run of a task that is placed alone; nil if there is no target.
func (p *pass) openOne(task *waiting) *run {
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

// recordDecision adds the decision and takes the task out of what waits.
func (p *pass) recordDecision(placed *waiting, opened *run) {
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
	p.engine.forget(placed)
	if opened.slot != nil {
		// The run may outlast its window and need what others have reserved.
		p.engine.reservations.dropUnsupportedSlots(on)
	}
}

// activeQueues returns the queues of the level that may place something.
func (level *priorityLevel) activeQueues() []*priorityQueue {
	var queues []*priorityQueue
	for _, q := range level.queues {
		if q.isSchedulable() {
			queues = append(queues, q)
		}
	}
	return queues
}

// isSchedulable reports whether the queue has something active and is below its limits.
func (q *priorityQueue) isSchedulable() bool { return len(q.active) > 0 && q.queue.CanRun(1) }

// nextQueue returns the queue with the lowest share, then the one with the lowest
// Sequence; nil if none may place. This is weighted max-min fairness over one resource,
// the number of runs: each time the queue furthest below its share goes next. Queues
// with BySlack count as one in that; mostUrgent says which of them goes first.
func nextQueue(queues []*priorityQueue, competing competingQueues) *priorityQueue {
	var best *priorityQueue
	var sharing fairshare.Sum
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
		sharing.Add(q.queue)
	}
	urgent := competing.mostUrgent(queues)
	switch {
	case urgent == nil:
		return best
	case best == nil:
		return urgent
	}
	byShare := sharing.Compare(best.queue)
	if byShare < 0 || byShare == 0 && urgent.hasEarlierTask(best) {
		return urgent
	}
	return best
}

// hasEarlierTask reports whether the first task of the queue has the lower Sequence.
func (q *priorityQueue) hasEarlierTask(other *priorityQueue) bool {
	return compareWaiting(q.active[0].tasks[0], other.active[0].tasks[0]) < 0
}

// before orders queues without BySlack.
func (q *priorityQueue) before(other *priorityQueue) bool {
	if byShare := fairshare.Compare(q.queue, other.queue); byShare != 0 {
		return byShare < 0
	}
	return q.hasEarlierTask(other)
}
