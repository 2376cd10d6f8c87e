package placement

import "github.com/decklever/decklever/internal/placement/fairshare"

// competingQueues are the queues of one priority level that share by slack. One that
// defers goes after those to which it does, so that its burst does them no harm.
type competingQueues []*priorityQueue

func competingQueuesOf(level *priorityLevel) competingQueues {
	var found competingQueues
	for _, q := range level.queues {
		if q.queue.Rule().BySlack {
			found = append(found, q)
		}
	}
	return found
}

// defers reports whether the queue lets others go first: it was told to, and has more
// than its weight's share of the open runs of itself and of those others that have
// something waiting, also if that found no worker.
func (c competingQueues) defers(q *fairshare.Queue) bool {
	if !q.MayDefer() {
		return false
	}
	sum := fairshare.Sum{}
	for _, other := range c {
		if other.queue == q || q.DefersTo(other.queue) && other.hasWaitingTasks() {
			sum.Add(other.queue)
		}
	}
	return sum.IsExceededBy(q)
}

// deferredTo returns the queues to which another defers now, of those that do not defer
// themselves and may run more.
func (c competingQueues) deferredTo() map[*fairshare.Queue]bool {
	deferredTo := map[*fairshare.Queue]bool{}
	for _, other := range c {
		if !c.defers(other.queue) {
			continue
		}
		for q := range other.queue.DeferredTo {
			deferredTo[q] = !c.defers(q) && q.CanRun(1)
		}
	}
	return deferredTo
}

// mostUrgent returns the queue with BySlack that goes first: the first by Sequence or, if
// it defers, the first of those to which it does and that do not defer themselves; nil if
// none may place.
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

// firstBySlack returns the queue with BySlack that is first by Sequence, of those that may
// place and are wanted; nil if there is none.
func firstBySlack(queues []*priorityQueue, wanted func(*priorityQueue) bool) *priorityQueue {
	var first *priorityQueue
	for _, q := range queues {
		if q.queue.Rule().BySlack && q.isSchedulable() && (first == nil || q.hasEarlierTask(first)) && wanted(q) {
			first = q
		}
	}
	return first
}

// hasWaitingTasks reports whether something waits in the queue for capacity.
func (q *priorityQueue) hasWaitingTasks() bool {
	return q.queue.CanRun(1) && (len(q.subQueues) > 0 || q.gangCount > 0)
}
