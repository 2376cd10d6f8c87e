package placement

import (
	"math"
	"slices"
)

// admits reports whether the class may use the worker, as far as its probation
// goes. A class that no other worker could hold may, so that it need not wait
// for the end of it.
func (c *class) admits(w *worker) bool { return c.admitsWith(w, 0) }

// keeps reports whether room that was promised on the worker is still for the
// class, the worker's probation considered: the class has a run there already.
func (c *class) keeps(w *worker) bool { return c.key.untilCancelled || c.admitsWith(w, 1) }

// admitsWith is admits for a class that has some runs there already.
func (c *class) admitsWith(w *worker, own int) bool {
	if !w.guarded || c.anyTrust && c.key.untilCancelled {
		return true
	}
	return len(w.runs) <= own && (c.anyTrust || c.key.mayTry && !w.HeldBack || c.hasNoOther())
}

// mostOn is the number of runs of the class that the worker may get at once.
func (c *class) mostOn(w *worker) int {
	switch {
	case !w.guarded || c.key.untilCancelled:
		return math.MaxInt
	case c.admits(w):
		return 1
	default:
		return 0
	}
}

// hasNoOther reports whether only guarded workers could hold the class,
// taken as empty.
func (c *class) hasNoOther() bool {
	return !slices.ContainsFunc(c.pool.workers, func(w *worker) bool {
		return !w.guarded && fits(c.key.need, w.Capacity)
	})
}

// toTry returns a worker on probation for a task that is to try one, or nil.
func (e *Engine) toTry(task *waiting) *worker {
	if !task.Tries {
		return nil
	}
	for _, w := range e.workers.guarded {
		if w.Probation && task.class.pool.matches(w) && task.class.fitsOn(w) && !slices.Contains(task.Avoid, w.Name) {
			return w
		}
	}
	return nil
}

// countIn notes what is particular about a worker, and countOut takes that back.
func (x *workerIndex) countIn(w *worker) {
	if w.Slow {
		x.slow++
	}
	if w.guarded {
		at, _ := slices.BinarySearchFunc(x.guarded, w, compareName)
		x.guarded = slices.Insert(x.guarded, at, w)
	}
	x.lookAgainAtGuarded()
}

func (x *workerIndex) countOut(w *worker) {
	if w.known && w.Slow {
		x.slow--
	}
	if w.known && w.guarded {
		x.guarded = slices.DeleteFunc(x.guarded, func(other *worker) bool { return other == w })
	}
	x.lookAgainAtGuarded()
}

// lookAgainAtGuarded marks the guarded workers as changed: whether a class
// may use them depends on the others.
func (x *workerIndex) lookAgainAtGuarded() {
	for _, w := range x.guarded {
		x.markChanged(w)
	}
}
