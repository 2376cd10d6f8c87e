package raftsim

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a heap by time, then by when the event was scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for package heap.
func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

// Pop is for package heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// after schedules an event.
func (s *simulation) after(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{at: s.now + delay, order: s.scheduled, run: run})
}

// runUntil runs the events up to a time, or until a guarantee is violated.
func (s *simulation) runUntil(end time.Duration) {
	for s.violation == nil && len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, end)
}
