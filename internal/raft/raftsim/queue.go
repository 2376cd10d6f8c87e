package raftsim

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at time.Duration
	// order is the sequence number of the event, in the order of scheduling.
	order uint64
	run   func()
}

// eventQueue is a heap of events, ordered by time, and by the order of scheduling if
// the times are equal.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// after schedules run after a delay of virtual time.
func (s *simulation) after(delay time.Duration, run func()) {
	s.scheduledEvents++
	heap.Push(&s.queue, event{at: s.now + delay, order: s.scheduledEvents, run: run})
}

// runUntil runs the events up to and including end and advances the virtual time to
// end. It stops running events once a guarantee is violated.
func (s *simulation) runUntil(end time.Duration) {
	for s.violation == nil && len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, end)
}
