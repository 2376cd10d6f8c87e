package fairshare

import "cmp"

// Waiter waits for a limit. Activate is called when the limit may allow it to run.
type Waiter interface{ Activate() }

// Waitlist holds the waiters of one limit. A Waiter removes itself by Leave, which may be
// called from Activate.
type Waitlist map[Waiter]struct{}

// Leave removes a waiter from the list.
func (l Waitlist) Leave(w Waiter) { delete(l, w) }

func (l Waitlist) activate() {
	for w := range l {
		w.Activate()
	}
}

// runLimit is a limit on open runs, the number of runs counted against it, and its
// waiters.
type runLimit struct {
	maxRunning int
	running    int
	waiters    Waitlist
}

// allows reports whether count more runs may open. A limit of 0 or less allows any
// number.
func (l *runLimit) allows(count int) bool {
	return l.maxRunning <= 0 || l.running+count <= l.maxRunning
}

func (l *runLimit) addWaiter(w Waiter) Waitlist {
	l.waiters[w] = struct{}{}
	return l.waiters
}

// Queue is the rule of a queue and the count of its open runs.
type Queue struct {
	rule QueueRule
	runLimit
	// team is nil if the queue belongs to no team.
	team *team
	// reserved is set while capacity is reserved for a window of the queue.
	reserved bool
	// defersTo holds the queues that are served first while this one exceeds its share.
	defersTo map[*Queue]bool
}

// team is the name of a team and the count of the open runs of its queues.
type team struct {
	name string
	runLimit
}

func newQueue(name string) *Queue {
	q := &Queue{runLimit: runLimit{waiters: Waitlist{}}}
	q.setRule(QueueRule{Name: name, Weight: 1})
	return q
}

func (q *Queue) setRule(rule QueueRule) {
	rule.Weight = max(rule.Weight, 1)
	q.rule, q.maxRunning = rule, rule.MaxRunning
}

// Name returns the name of the queue.
func (q *Queue) Name() string { return q.rule.Name }

// Rule returns the rule of the queue; the caller must not change it.
func (q *Queue) Rule() *QueueRule { return &q.rule }

// Running returns the number of open and nominated runs.
func (q *Queue) Running() int { return q.running }

// IsReserved reports whether capacity is reserved for a window of the queue.
func (q *Queue) IsReserved() bool { return q.reserved }

// DefersTo reports whether the queue defers to other while it exceeds its share.
func (q *Queue) DefersTo(other *Queue) bool { return q.defersTo[other] }

// MayDefer reports whether the queue defers to any other queue while it exceeds its
// share. Only queues with BySlack defer.
func (q *Queue) MayDefer() bool { return q.rule.BySlack && len(q.defersTo) > 0 }

// DeferenceTargets yields the queues to which this one defers, in no particular order.
func (q *Queue) DeferenceTargets(yield func(*Queue) bool) {
	for other := range q.defersTo {
		if !yield(other) {
			return
		}
	}
}

// CountRun adds change to the open runs of the queue and of its team.
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

// Await registers a waiter with the limit that does not allow count more runs. It returns
// the list that the waiter must leave once it no longer waits. It must be called only if
// CanRun returns false.
func (q *Queue) Await(w Waiter, count int) Waitlist {
	if !q.allows(count) {
		return q.runLimit.addWaiter(w)
	}
	return q.team.runLimit.addWaiter(w)
}

// Exceeded returns the limit that does not allow count more runs. It must be called only
// if CanRun returns false.
func (q *Queue) Exceeded(count int) Limit {
	if !q.allows(count) {
		return Limit{Kind: "queue", Name: q.rule.Name, Running: q.running, MaxRunning: q.maxRunning}
	}
	return Limit{Kind: "team", Name: q.team.name, Running: q.team.running, MaxRunning: q.team.maxRunning}
}

// RunEnded activates the waiters of the limits of the queue and its team.
func (q *Queue) RunEnded() {
	q.waiters.activate()
	if q.team != nil {
		q.team.waiters.activate()
	}
}

// Compare orders queues by running/weight. It cross-multiplies, so that rounding has no
// effect.
func Compare(a, b *Queue) int {
	return cmp.Compare(a.running*b.rule.Weight, b.running*a.rule.Weight)
}

// CombinedShare is a group of queues that share as one queue: the sums of their open runs and of
// their weights.
type CombinedShare struct{ running, weight int }

// Add adds a queue to the sum.
func (s *CombinedShare) Add(q *Queue) {
	s.running += q.running
	s.weight += q.rule.Weight
}

// Compare compares the sum with a queue, as the function Compare compares two queues.
func (s *CombinedShare) Compare(q *Queue) int {
	return cmp.Compare(s.running*q.rule.Weight, q.running*s.weight)
}

// IsExceededBy reports whether the queue has more than its share, by weight, of the sum.
func (s *CombinedShare) IsExceededBy(q *Queue) bool { return s.Compare(q) < 0 }
