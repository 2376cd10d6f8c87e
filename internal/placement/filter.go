package placement

import (
	"math"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// fits reports whether need fits in free. Nothing fits, not even a need of zero, if any
// dimension of free is negative.
func fits(need, free api.Resources) bool { return need.Fits(free) }

// withinSpread reports whether the spread rule allows one more run of its step in the
// worker's domain. A nil rule always does.
func withinSpread(rule *spreadRule, worker *Worker) bool {
	return rule == nil || rule.remaining(worker) > 0
}

// isUsable reports whether new runs may be placed on the worker.
func isUsable(worker *worker) bool { return worker.known && worker.Usable }

// availableOn returns the resources of a worker that the class may use outside of slots
// reserved for its own queue. Preemptible tasks may use all that is free. Other tasks
// leave what reserved slots need until the latest end of the task's run, or at any time
// if the run has no maximum duration.
func (c *equivalenceClass) availableOn(w *worker) api.Resources {
	if len(w.profile) == 0 || c.key.preemptible {
		return w.free
	}
	if c.key.duration == 0 {
		return w.unreserved
	}
	slack, bound := w.slackUntil(c.clock.now + c.key.duration)
	if !bound {
		return w.free
	}
	return resources.Min(w.free, slack)
}

// fitsOn reports whether the class fits on a worker of its pool now, outside of reserved
// slots. The class's searchScope decides about headroom, restricted workers and workers
// reserved for backfill. Cheap conditions are checked first.
func (c *equivalenceClass) fitsOn(w *worker) bool {
	if !c.key.untilCancelled && c.backfill.excludes(w) {
		return false
	}
	if c.key.waitsForPreferred && !isHealthy(w) {
		return false
	}
	if !fits(c.key.need, w.free) || !c.leavesHeadroom(w) || len(w.profile) > 0 && !fits(c.key.need, c.availableOn(w)) {
		return false
	}
	return withinSpread(c.spread, &w.Worker) && c.admits(w)
}

// mightFitOn reports whether the class may fit on a worker that changed. A slot counts
// even if preemptible runs use its capacity, because they can be preempted.
func (c *equivalenceClass) mightFitOn(w *worker) bool {
	if c.fitsOnWithFallbacks(w) || c.freeSlots(w.slots) > 0 {
		return true
	}
	return w.nominated != (api.Resources{}) && fits(c.key.need, c.availableWithNominated(w)) && c.key.untilCancelled
}

// Headroom: a queue may have a share of each worker that its tasks leave free. Its tasks
// are placed on workers where that share stays free, if there are any. If there are none,
// the tasks wait while their service is highly utilized; otherwise they use any free
// capacity, because urgent tasks cannot be short of capacity then.

// waitsForHeadroom reports whether tasks of the class wait if no worker has headroom
// left. Tasks that run until cancelled never do.
func (c *equivalenceClass) waitsForHeadroom() bool {
	return c.key.headroomPercent != 0 && !c.key.untilCancelled && c.isHighlyUtilized()
}

// ignoringHeadroom runs search with headroom ignored and returns its result. It returns
// the zero value without searching if the class has no headroom or must wait for it.
func ignoringHeadroom[T any](c *equivalenceClass, search func() T) T {
	if c.key.headroomPercent == 0 || c.waitsForHeadroom() {
		var zero T
		return zero
	}
	c.ignoresHeadroom = true
	defer func() { c.ignoresHeadroom = false }()
	return search()
}

// leavesHeadroom reports whether a task of the class leaves its queue's headroom free on
// the worker. A task too large to do so even on an empty worker may use all of it, as it
// would never run otherwise.
func (c *equivalenceClass) leavesHeadroom(w *worker) bool {
	if c.key.headroomPercent == 0 || c.ignoresHeadroom {
		return true
	}
	needWithHeadroom := c.key.need.Add(resources.Percent(w.Capacity, c.key.headroomPercent))
	return fits(needWithHeadroom, w.free) || !fits(needWithHeadroom, w.Capacity)
}

// headroomPercentOf returns the percentage of a worker that a task leaves free. It is 0
// for gangs and tasks with a spread rule: they need many targets, and could wait forever
// for the same few workers.
func headroomPercentOf(task *Task, rule *QueueRule) int {
	if task.GangSize > 1 || task.Spec.Spread != nil {
		return 0
	}
	return rule.HeadroomPercent
}

// admits reports whether the worker's health allows a run of the class. A restricted
// worker holds one run at a time, except of tasks that run until cancelled. A class that
// only restricted workers could hold may use one, so that it does not wait for the end of
// a probation.
func (c *equivalenceClass) admits(w *worker) bool { return c.admitsBesideOwnRuns(w, 0) }

// admitsNominated reports whether the worker's health still allows the class to use the
// capacity nominated for it there. The nominated run counts among the worker's runs.
func (c *equivalenceClass) admitsNominated(w *worker) bool {
	return c.key.untilCancelled || c.admitsBesideOwnRuns(w, 1)
}

// admitsBesideOwnRuns is admits for a class that already has ownRuns runs on the worker.
func (c *equivalenceClass) admitsBesideOwnRuns(w *worker, ownRuns int) bool {
	if !w.restricted || c.allowsRestricted && c.key.untilCancelled {
		return true
	}
	return len(w.runs) <= ownRuns && (c.allowsRestricted || c.key.allowsProbation && !w.Suspect || c.hasOnlyRestricted())
}

// maxRunsOn returns how many runs of the class the worker's health allows to be placed
// there at once.
func (c *equivalenceClass) maxRunsOn(w *worker) int {
	switch {
	case !w.restricted || c.key.untilCancelled:
		return math.MaxInt
	case c.admits(w):
		return 1
	default:
		return 0
	}
}

// hasOnlyRestricted reports whether no unrestricted worker of the pool could hold the
// class even when empty.
func (c *equivalenceClass) hasOnlyRestricted() bool {
	return !slices.ContainsFunc(c.pool.workers, func(w *worker) bool {
		return !w.restricted && fits(c.key.need, w.Capacity)
	})
}

// probationTarget returns a worker on probation that a task with PrefersProbation fits on
// and does not avoid, or nil.
func (f *targetFinder) probationTarget(task *waitingTask) *worker {
	if !task.PrefersProbation {
		return nil
	}
	for _, w := range f.workers.restricted {
		if w.Probation && task.class.pool.matches(w) && task.class.fitsOn(w) && !slices.Contains(task.Avoid, w.Name) {
			return w
		}
	}
	return nil
}

// addHealthCounts adds a worker to the count of slow workers and to the list of
// restricted ones, as far as it is either.
func (x *workerIndex) addHealthCounts(w *worker) {
	if w.Slow {
		x.slowCount++
	}
	if w.restricted {
		at, _ := slices.BinarySearchFunc(x.restricted, w, compareName)
		x.restricted = slices.Insert(x.restricted, at, w)
	}
	x.addRestrictedToChanged()
}

// removeHealthCounts is the reverse of addHealthCounts.
func (x *workerIndex) removeHealthCounts(w *worker) {
	if w.known && w.Slow {
		x.slowCount--
	}
	if w.known && w.restricted {
		x.restricted = slices.DeleteFunc(x.restricted, func(other *worker) bool { return other == w })
	}
	x.addRestrictedToChanged()
}

// addRestrictedToChanged lists the restricted workers as changed, because whether a class
// may use them depends on the other workers.
func (x *workerIndex) addRestrictedToChanged() {
	for _, w := range x.restricted {
		x.addChanged(w)
	}
}

// Last resort. A task that runs until cancelled uses any capacity there is. It never
// waits for headroom. If it fits on no other worker, it uses restricted ones, also with
// several such runs on one worker and beside other runs. It also uses capacity drained
// for a gang. It is still subject to limits, spread rules and reserved slots, and leaves
// the capacity that preempted runs are about to free for another task.
//
// Other tasks may use a suspect worker, one run at a time, if the task has an attempt to
// spare (AllowsProbation) and fits on no other worker, and if its service is not highly
// utilized.

// withRestricted runs search with restricted workers allowed and headroom ignored, and
// returns its result. It returns the zero value without searching if the class may not
// use restricted workers as a last resort.
func withRestricted[T any](c *equivalenceClass, search func() T) T {
	if !c.key.untilCancelled && (!c.key.allowsProbation || c.isHighlyUtilized()) {
		var zero T
		return zero
	}
	c.allowsRestricted, c.ignoresHeadroom = true, true
	defer func() { c.allowsRestricted, c.ignoresHeadroom = false, false }()
	return search()
}

// isHighlyUtilized reports whether the service of the class is highly utilized, as
// utilization.Table.IsHigh defines it.
func (c *equivalenceClass) isHighlyUtilized() bool {
	return c.utilization.IsHigh(c.key.selector.service)
}

// fitsOnWithFallbacks reports whether the class fits on a worker of its pool now, directly
// or by a fallback that is open to the class: ignoring headroom or using a restricted
// worker.
func (c *equivalenceClass) fitsOnWithFallbacks(w *worker) bool {
	fitsOn := func() bool { return c.fitsOn(w) }
	return fitsOn() || ignoringHeadroom(c, fitsOn) || w.restricted && withRestricted(c, fitsOn)
}

// isTargetFeasible reports whether the class could still be placed on a target chosen
// for it before.
func (c *equivalenceClass) isTargetFeasible(target placementTarget) bool {
	if target.slot != nil {
		return c.canEnterSlot(target.slot) && fits(c.key.need, target.worker.free)
	}
	return c.pool.matches(target.worker) && c.fitsOnWithFallbacks(target.worker)
}

// availableWithNominated is availableOn, except on a worker with nominated capacity for a
// class that runs until cancelled: it may use all that open runs leave free there.
func (c *equivalenceClass) availableWithNominated(w *worker) api.Resources {
	if c.key.untilCancelled && w.nominated != (api.Resources{}) {
		return w.freeNow()
	}
	return c.availableOn(w)
}

// runsUntilCancelled reports whether the tasks of the sub-queue run until cancelled. A
// gang does if any of its members does.
func (sub *subQueue) runsUntilCancelled() bool {
	if sub.class != nil {
		return sub.class.key.untilCancelled
	}
	for _, m := range sub.members {
		if m.class.key.untilCancelled {
			return true
		}
	}
	return false
}
