package fairshare

import "cmp"

// Waiter is what waits for a limit: Activate is called once it may be looked at again.
type Waiter interface{ Activate() }

// Waitlist holds those that wait for one limit. A Waiter leaves it by itself, also
// while it is activated.
type Waitlist map[Waiter]struct{}

// Leave takes a waiter off the list.
func (l Waitlist) Leave(w Waiter) { delete(l, w) }

func (l Waitlist) activate() {
	for w := range l {
		w.Activate()
	}
}

// limited is a bound on open runs, what counts against it and who waits for it.
type limited struct {
	maxRunning int
	running    int
	waiters    Waitlist
}

// allows reports whether count more runs may open.
func (l *limited) allows(count int) bool {
	return l.maxRunning <= 0 || l.running+count <= l.maxRunning
}

func (l *limited) add(w Waiter) Waitlist {
	l.waiters[w] = struct{}{}
	return l.waiters
}

// Queue is a queue's rule and its open runs.
type Queue struct {
	rule QueueRule
	limited
	// team is nil if the queue is of no team.
	team *team
	// reserved is set while capacity is reserved for a window of the queue.
	reserved bool
	// defersTo are the queues that go first while this one has more than its share.
	defersTo map[*Queue]bool
}

// team is a team's name and the open runs of its queues.
type team struct {
	name string
	limited
}

func newQueue(name string) *Queue {
	q := &Queue{limited: limited{waiters: Waitlist{}}}
	q.setRule(QueueRule{Name: name, Weight: 1})
	return q
}

func (q *Queue) setRule(rule QueueRule) {
	rule.Weight = max(rule.Weight, 1)
	q.rule, q.maxRunning = rule, rule.MaxRunning
}

// Name is the queue's name.
func (q *Queue) Name() string { return q.rule.Name }

// Rule is the queue's rule; the caller must not change it.
func (q *Queue) Rule() *QueueRule { return &q.rule }

// Running is the number of open and nominated runs.
func (q *Queue) Running() int { return q.running }

// IsReserved reports whether capacity is reserved for a window of the queue.
func (q *Queue) IsReserved() bool { return q.reserved }

// DefersTo reports whether the queue lets the other go first while it has more than
// its share.
func (q *Queue) DefersTo(other *Queue) bool { return q.defersTo[other] }

// MayDefer reports whether the queue defers to any other, now or under load.
func (q *Queue) MayDefer() bool { return q.rule.BySlack && len(q.defersTo) > 0 }

// DeferredTo yields the queues to which this one defers, in no order.
func (q *Queue) DeferredTo(yield func(*Queue) bool) {
	for other := range q.defersTo {
		if !yield(other) {
			return
		}
	}
}

// CountRun adds to the open runs of the queue and of its team.
func (q *Queue) CountRun(change int) {
	q.running += change
	if q.team != nil {
		q.team.running += change
	}
}

// CanRun reports whether the limits of the queue and its team allow count more runs.
func (q *Queue) CanRun(count int) bool {
	return q.allows(count) && (q.team == nil || q.team.allows(count))
}

// Await has a waiter wait for the limit that does not allow count more runs, and
// returns the list from which it must leave once it waits no more. Call it only if
// CanRun is false.
func (q *Queue) Await(w Waiter, count int) Waitlist {
	if !q.allows(count) {
		return q.limited.add(w)
	}
	return q.team.limited.add(w)
}

// Exceeded returns the limit that does not allow count more runs. Call it only if
// CanRun is false.
func (q *Queue) Exceeded(count int) Limit {
	if !q.allows(count) {
		return Limit{Kind: "queue", Name: q.rule.Name, Running: q.running, MaxRunning: q.maxRunning}
	}
	return Limit{Kind: "team", Name: q.team.name, Running: q.team.running, MaxRunning: q.team.maxRunning}
}

// RunEnded activates what waits for the limits of the queue and its team.
func (q *Queue) RunEnded() {
	q.waiters.activate()
	if q.team != nil {
		q.team.waiters.activate()
	}
}

// Compare orders queues by running/weight. It multiplies crosswise, so that no
// rounding decides.
func Compare(a, b *Queue) int {
	return cmp.Compare(a.running*b.rule.Weight, b.running*a.rule.Weight)
}

// Sum is several queues that share as one: the sums of what runs and of the weights.
type Sum struct{ running, weight int }

// Add adds a queue to the sum.
func (s *Sum) Add(q *Queue) {
	s.running += q.running
	s.weight += q.rule.Weight
}

// Compare orders the sum against a queue, as Compare orders queues.
func (s *Sum) Compare(q *Queue) int {
	return cmp.Compare(s.running*q.rule.Weight, q.running*s.weight)
}

// IsExceededBy reports whether the queue has more than its weight's share of the sum.
func (s *Sum) IsExceededBy(q *Queue) bool { return s.Compare(q) < 0 }
