package placement

import "slices"

// minRetryCompaction is the least length at which preemptionRetries drops sub-queues
// without tasks.
const minRetryCompaction = 256

// preemptionRetries owns the unschedulable sub-queues that get another attempt to
// preempt, since runs that could make room for them may have started meanwhile. Each
// pass takes some of them in turn, so that its cost does not grow with their number.
type preemptionRetries struct {
	// waiting are in the order in which they get their attempt.
	waiting []*subQueue
	// overAllowance are those for which the last pass had no allowance left.
	overAllowance []*subQueue
}

// add lists a sub-queue for another attempt.
func (r *preemptionRetries) add(sub *subQueue) {
	if sub.inPreemptRetries {
		return
	}
	if len(r.waiting) >= minRetryCompaction && len(r.waiting) == cap(r.waiting) {
		r.waiting = slices.DeleteFunc(r.waiting, func(sub *subQueue) bool { return len(sub.tasks) == 0 })
	}
	sub.inPreemptRetries = true
	r.waiting = append(r.waiting, sub)
}

// addOverAllowance lists a sub-queue that is to be looked at in the next pass.
func (r *preemptionRetries) addOverAllowance(sub *subQueue) {
	r.overAllowance = append(r.overAllowance, sub)
}

// activate lets the pass look at what the last one had no allowance for, and at some of
// those that may preempt by now, in turn.
func (r *preemptionRetries) activate(runs *runTable) {
	r.activateOverAllowance()
	if len(runs.preemptible) == 0 {
		return
	}
	count := min(maxPreemptionAttemptsPerPass, len(r.waiting))
	turn := slices.Clone(r.waiting[:count])
	r.waiting = slices.Delete(r.waiting, 0, count)
	for _, sub := range turn {
		sub.inPreemptRetries = false
		switch {
		case len(sub.tasks) == 0:
		case !runs.anyPreemptible(sub.parent.level.priority):
			r.add(sub)
		default:
			sub.mayPreemptNow = true
			sub.activate()
		}
	}
}

func (r *preemptionRetries) activateOverAllowance() {
	unfinished := r.overAllowance
	r.overAllowance = nil
	for _, sub := range unfinished {
		if len(sub.tasks) > 0 {
			sub.mayPreemptNow = sub.class == nil || sub.class.unschedulable
			sub.activate()
		}
	}
}
