package placement

import (
	"math"
	"slices"
)

// admits reports whether the class may use the worker, as far as its probation
// goes. A class that no other worker could hold may, so that it need not wait
// for the end of it.
func (c *equivalenceClass) admits(w *worker) bool { return c.admitsBesideOwn(w, 0) }

// stillAdmits reports whether room that was promised on the worker is still for the
// class, the worker's probation considered: the class has a run there already.
func (c *equivalenceClass) stillAdmits(w *worker) bool {
	return c.key.untilCancelled || c.admitsBesideOwn(w, 1)
}

// admitsBesideOwn is admits for a class that has some runs there already.
func (c *equivalenceClass) admitsBesideOwn(w *worker, own int) bool {
	if !w.restricted || c.allowsRestricted && c.key.untilCancelled {
		return true
	}
	return len(w.runs) <= own && (c.allowsRestricted || c.key.allowsProbation && !w.Suspect || c.hasOnlyRestricted())
}

// maxRunsOn is the number of runs of the class that the worker may get at once.
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

// hasOnlyRestricted reports whether only guarded workers could hold the class,
// taken as empty.
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

// addHealthCounts notes what is particular about a worker, and removeHealthCounts takes that back.
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

// addRestrictedToChanged marks the guarded workers as changed: whether a class
// may use them depends on the others.
func (x *workerIndex) addRestrictedToChanged() {
	for _, w := range x.restricted {
		x.addChanged(w)
	}
}
