package placement

import (
	"github.com/decklever/decklever/api"
)

// HasFreeCapacity implements Planner.
func (e *Engine) HasFreeCapacity(spec *api.TaskSpec) bool {
	for _, w := range e.workers.byID {
		if isUsable(w) && !w.restricted && fits(spec.Resources, w.unreserved) &&
			offersService(&w.Worker, spec.Service) && hasLabels(&w.Worker, spec.Labels) {
			return true
		}
	}
	return false
}

// competingQueues are the lines of one level that share by slack, for one pass; none while no
// queue yields and no worker is kept.
type competingQueues struct {
	queues []*priorityQueue
	// backfillReserved are the workers that are kept for lanes; looked is set once those that
	// found no room before have one.
	backfillReserved []*worker
	reservationsMade bool
	// deferredTo are the queues whose lanes get one.
	deferredTo map[*queue]bool
}

// competingQueuesIn finds the rivals of a level.
func (e *Engine) competingQueuesIn(lv *priorityLevel) *competingQueues {
	found := &competingQueues{backfillReserved: e.takeBackfillReservations(lv)}
	if !e.queues.anyDeferences && len(found.backfillReserved) == 0 {
		return found
	}
	for _, l := range lv.queues {
		if l.queue.rule.BySlack {
			found.queues = append(found.queues, l)
		}
	}
	return found
}

// defers reports whether the queue lets others go first: it was told to, and has more
// than its weight's share of the open runs of itself and of those others that have
// something waiting, also if that found no room.
func (r *competingQueues) defers(q *queue) bool {
	if len(q.defersTo) == 0 || !q.rule.BySlack {
		return false
	}
	sum := fairShare{}
	for _, l := range r.queues {
		if l.queue == q || q.defersTo[l.queue] && l.hasWaitingTasks() {
			sum.add(l.queue)
		}
	}
	return q.running*sum.weight > q.rule.Weight*sum.running
}

// hasWaitingTasks reports whether something waits in the line for room.
func (l *priorityQueue) hasWaitingTasks() bool {
	return l.queue.canRun(1) && (len(l.subQueues) > 0 || l.gangCount > 0)
}

// mostUrgent returns the line with BySlack that goes first: the first by Sequence
// or, if its queue yields, the first of those to which it does and that do not yield
// themselves; nil if none may place.
func (r *competingQueues) mostUrgent(lines []*priorityQueue) *priorityQueue {
	first := firstOf(lines, func(*priorityQueue) bool { return true })
	if first == nil || !r.defers(first.queue) {
		return first
	}
	other := firstOf(lines, func(l *priorityQueue) bool { return first.queue.defersTo[l.queue] && !r.defers(l.queue) })
	if other != nil {
		return other
	}
	return first
}

// firstOf returns the line with BySlack that is first by Sequence, of those that may
// place and are wanted; nil if there is none.
func firstOf(lines []*priorityQueue, wanted func(*priorityQueue) bool) *priorityQueue {
	var first *priorityQueue
	for _, l := range lines {
		if l.queue.rule.BySlack && l.canPlace() && (first == nil || l.hasEarlierTask(first)) && wanted(l) {
			first = l
		}
	}
	return first
}
