package placement

import "github.com/decklever/decklever/internal/placement/fairshare"

// competingQueues are the queues of one priority level with BySlack. A queue that defers
// is placed after the queues to which it defers, so that its burst does not delay their
// tasks.
type competingQueues []*priorityQueue

func competingQueuesOf(level *priorityLevel) competingQueues {
	var competing competingQueues
	for _, q := range level.queues {
		if q.queue.Rule().BySlack {
			competing = append(competing, q)
		}
	}
	return competing
}

// defers reports whether the queue lets others go first: it is configured to, and it has
// more than the share of the open runs that its weight gives it. The share is among the
// queue itself and those it defers to that have tasks waiting, unschedulable ones
// included.
func (c competingQueues) defers(q *fairshare.Queue) bool {
	if !q.MayDefer() {
		return false
	}
	sum := fairshare.CombinedShare{}
	for _, other := range c {
		if other.queue == q || q.DefersTo(other.queue) && other.hasWaitingTasks() {
			sum.Add(other.queue)
		}
	}
	return sum.IsExceededBy(q)
}

// deferredTo returns the queues to which another queue defers now. The value is true for
// those that do not defer themselves and may run more.
func (c competingQueues) deferredTo() map[*fairshare.Queue]bool {
	deferredTo := map[*fairshare.Queue]bool{}
	for _, deferring := range c {
		if !c.defers(deferring.queue) {
			continue
		}
		for q := range deferring.queue.DeferenceTargets {
			deferredTo[q] = !c.defers(q) && q.CanRun(1)
		}
	}
	return deferredTo
}

// mostUrgent returns the queue with BySlack whose tasks are placed next: the first by
// Sequence. If that queue defers, it is the first by Sequence of the queues to which it
// defers and which do not defer themselves, if there is one. It returns nil if no queue
// may place.
func (c competingQueues) mostUrgent(queues []*priorityQueue) *priorityQueue {
	first := firstBySlack(queues, func(*priorityQueue) bool { return true })
	if first == nil || !c.defers(first.queue) {
		return first
	}
	other := firstBySlack(queues, func(q *priorityQueue) bool {
		return first.queue.DefersTo(q.queue) && !c.defers(q.queue)
	})
	if other != nil {
		return other
	}
	return first
}

// firstBySlack returns the queue with BySlack that is first by Sequence, of those that
// may place and are eligible; nil if there is none.
func firstBySlack(queues []*priorityQueue, eligible func(*priorityQueue) bool) *priorityQueue {
	var first *priorityQueue
	for _, q := range queues {
		if q.queue.Rule().BySlack && q.isSchedulable() && (first == nil || q.hasEarlierTask(first)) && eligible(q) {
			first = q
		}
	}
	return first
}

// hasWaitingTasks reports whether the queue is below its limits and has tasks or gangs
// that wait for capacity.
func (q *priorityQueue) hasWaitingTasks() bool {
	return q.queue.CanRun(1) && (len(q.subQueues) > 0 || q.gangCount > 0)
}
