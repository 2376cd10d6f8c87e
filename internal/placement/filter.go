package placement

import (
	"math"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// fits reports whether need fits in free. No need fits where any dimension is
// negative.
func fits(need, free api.Resources) bool { return need.Fits(free) }

// withinSpread reports whether one more run of the step is allowed in the
// worker's domain. A nil rule allows any.
func withinSpread(rule *spreadRule, worker *Worker) bool {
	return rule == nil || rule.remaining(worker) > 0
}

// isUsable reports whether the worker may get new runs.
func isUsable(worker *worker) bool { return worker.known && worker.Usable }

// availableOn is what the class may use of a worker outside of slots for its own queue:
// a task that can be preempted uses all that is free, others leave what reserved slots
// need before their run surely ends.
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
// slots, within the scope of the search. Cheap conditions come first.
func (c *equivalenceClass) fitsOn(w *worker) bool {
	if !c.key.untilCancelled && c.backfill.excludes(w) {
		return false
	}
	if c.key.waitsForPreferred && !isSound(w) {
		return false
	}
	if !fits(c.key.need, w.free) || !c.leavesHeadroom(w) || len(w.profile) > 0 && !fits(c.key.need, c.availableOn(w)) {
		return false
	}
	return withinSpread(c.spread, &w.Worker) && c.admits(w)
}

// mightFitOn reports whether the class may fit on a worker that changed. A slot counts
// also if preemptible runs have its capacity: they can be made to stop.
func (c *equivalenceClass) mightFitOn(w *worker) bool {
	if c.fitsOnAnyTerms(w) || c.freeSlots(w.slots) > 0 {
		return true
	}
	return w.nominated != (api.Resources{}) && fits(c.key.need, c.availableWithNominated(w)) && c.key.untilCancelled
}

// Headroom: tasks of a queue that has it are placed where they leave its share of the
// worker free, wherever there is such a worker. Where there is none, they wait if their
// service is highly utilized, and take any free capacity if not: nothing urgent can be
// short of capacity then.

// waitsForHeadroom reports whether tasks of the class wait where no worker has headroom
// left. Those that run until cancelled never do.
func (c *equivalenceClass) waitsForHeadroom() bool {
	return c.key.headroom != 0 && !c.key.untilCancelled && c.isHighlyUtilized()
}

// ignoringHeadroom has find search workers that need not keep headroom, if the class
// need not wait for those that do.
func ignoringHeadroom[T any](c *equivalenceClass, find func() T) T {
	if c.key.headroom == 0 || c.waitsForHeadroom() {
		var none T
		return none
	}
	c.ignoresHeadroom = true
	defer func() { c.ignoresHeadroom = false }()
	return find()
}

// leavesHeadroom reports whether the class leaves on a worker what its queue is to leave
// free for others. What could not leave it even on an empty worker may use it all: it
// would never run.
func (c *equivalenceClass) leavesHeadroom(w *worker) bool {
	if c.key.headroom == 0 || c.ignoresHeadroom {
		return true
	}
	wanted := c.key.need.Add(resources.Percent(w.Capacity, c.key.headroom))
	return fits(wanted, w.free) || !fits(wanted, w.Capacity)
}

// headroomPercentOf is what a task leaves free of a worker, in hundredths. Gangs and
// tasks with a spread rule leave nothing: they need many targets, and could wait for the
// same few workers for ever.
func headroomPercentOf(task *Task, rule *QueueRule) int {
	if task.GangSize > 1 || task.Spec.Spread != nil {
		return 0
	}
	return rule.Headroom
}

// admits reports whether the class may use the worker, as far as its health goes. A
// class that no other worker could hold may, so that it need not wait for the end of a
// probation.
func (c *equivalenceClass) admits(w *worker) bool { return c.admitsBesideOwn(w, 0) }

// admitsNominated reports whether what is promised on the worker is still for the class, the
// worker's health considered: the class has a run there already.
func (c *equivalenceClass) admitsNominated(w *worker) bool {
	return c.key.untilCancelled || c.admitsBesideOwn(w, 1)
}

// admitsBesideOwn is admits for a class that has some runs there already.
func (c *equivalenceClass) admitsBesideOwn(w *worker, own int) bool {
	if !w.restricted || c.allowsRestricted && c.key.untilCancelled {
		return true
	}
	return len(w.runs) <= own && (c.allowsRestricted || c.key.allowsProbation && !w.Suspect || c.hasOnlyRestricted())
}

// maxRunsOn is how many runs of the class the worker may get at once, as far as its
// health goes.
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

// hasOnlyRestricted reports whether only restricted workers could hold the class, taken
// as empty.
func (c *equivalenceClass) hasOnlyRestricted() bool {
	return !slices.ContainsFunc(c.pool.workers, func(w *worker) bool {
		return !w.restricted && fits(c.key.need, w.Capacity)
	})
}

// probationTarget returns a worker on probation for a task that is to try one, or nil.
func (f *targetFinder) probationTarget(task *waiting) *worker {
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

// addHealthCounts counts a worker that is slow or restricted, and removeHealthCounts
// takes it out.
func (x *workerIndex) addHealthCounts(w *worker) {
	if w.Slow {
		x.slow++
	}
	if w.restricted {
		at, _ := slices.BinarySearchFunc(x.restricted, w, compareName)
		x.restricted = slices.Insert(x.restricted, at, w)
	}
	x.addRestrictedToChanged()
}

func (x *workerIndex) removeHealthCounts(w *worker) {
	if w.known && w.Slow {
		x.slow--
	}
	if w.known && w.restricted {
		x.restricted = slices.DeleteFunc(x.restricted, func(other *worker) bool { return other == w })
	}
	x.addRestrictedToChanged()
}

// addRestrictedToChanged lists the restricted workers as changed: whether a class may
// use them depends on the others.
func (x *workerIndex) addRestrictedToChanged() {
	for _, w := range x.restricted {
		x.addChanged(w)
	}
}

// Last resort. A task that runs until cancelled takes whatever capacity there is. It
// never waits for headroom; where it fits on no other worker, it takes restricted ones,
// several runs on one and beside what runs there already; and it takes capacity that is
// drained for a gang. What holds for it as for others are limits, spread, reserved
// slots, and what preempted runs are about to leave to another task.
//
// Of other tasks, one at a time may try a suspect worker, if it has an attempt to spare,
// fits on no other worker and its service is not highly utilized.

// withRestricted has find search restricted workers too, if the class may use them where
// it fits on no other.
func withRestricted[T any](c *equivalenceClass, find func() T) T {
	if !c.key.untilCancelled && (!c.key.allowsProbation || c.isHighlyUtilized()) {
		var none T
		return none
	}
	c.allowsRestricted, c.ignoresHeadroom = true, true
	defer func() { c.allowsRestricted, c.ignoresHeadroom = false, false }()
	return find()
}

// isHighlyUtilized reports whether the service of the class is short of capacity.
func (c *equivalenceClass) isHighlyUtilized() bool {
	return c.utilization.IsHigh(c.key.selector.service)
}

// fitsOnAnyTerms reports whether the class fits on a worker of its pool now, if it fits
// on none that it would rather have.
func (c *equivalenceClass) fitsOnAnyTerms(w *worker) bool {
	fitsOn := func() bool { return c.fitsOn(w) }
	return fitsOn() || ignoringHeadroom(c, fitsOn) || w.restricted && withRestricted(c, fitsOn)
}

// isTargetFeasible reports whether a target that the class had is still one for it.
func (c *equivalenceClass) isTargetFeasible(to placementTarget) bool {
	if to.slot != nil {
		return c.canEnterSlot(to.slot) && fits(c.key.need, to.worker.free)
	}
	return c.pool.matches(to.worker) && c.fitsOnAnyTerms(to.worker)
}

// availableWithNominated is what came free on a worker, for a class that takes also what
// is promised there.
func (c *equivalenceClass) availableWithNominated(w *worker) api.Resources {
	if c.key.untilCancelled && w.nominated != (api.Resources{}) {
		return w.freeNow()
	}
	return c.availableOn(w)
}

// runsUntilCancelled reports whether the tasks of the sub-queue take whatever capacity
// there is. One member decides for its gang.
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
