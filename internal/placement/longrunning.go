package placement

import (
	"github.com/decklever/decklever/api"
)

// Last room: a task that runs until cancelled takes whatever room there is. It
// never waits for headroom; where no other worker has room for it, it takes those that
// are guarded, several on one and beside what runs there already; and it takes room
// that a group gathers. What holds for it as for others are limits, spread, slices,
// and room that preempted runs are about to leave to another task.
//
// Of other tasks, one at a time may try a worker that is held back, if it has an
// attempt to spare, no other worker has room and its service is not crowded.

// withRestricted has find look on guarded workers too, if the class may use them where no
// other has room.
func withRestricted[T any](c *equivalenceClass, find func() T) T {
	if !c.key.untilCancelled && (!c.key.allowsProbation || c.isHighlyUtilized()) {
		var none T
		return none
	}
	c.allowsRestricted, c.ignoresHeadroom = true, true
	defer func() { c.allowsRestricted, c.ignoresHeadroom = false, false }()
	return find()
}

// isHighlyUtilized reports whether the class's service is short of room.
func (c *equivalenceClass) isHighlyUtilized() bool {
	return c.utilization.IsHigh(c.key.selector.service)
}

// fitsOnAnyTerms reports whether the class fits on a worker of its pool now, if no
// other that it would rather have has room.
func (c *equivalenceClass) fitsOnAnyTerms(w *worker) bool {
	fitsOn := func() bool { return c.fitsOn(w) }
	return fitsOn() || ignoringHeadroom(c, fitsOn) || w.restricted && withRestricted(c, fitsOn)
}

// canStillUse reports whether a seat that the class had is still one for it.
func (c *equivalenceClass) canStillUse(to placementTarget) bool {
	if to.slot != nil {
		return c.canEnterSlot(to.slot) && fits(c.key.need, to.worker.free)
	}
	return c.pool.matches(to.worker) && c.fitsOnAnyTerms(to.worker)
}

// availableWithNominated is the room that came on a worker, for a class that takes also what
// is promised there.
func (c *equivalenceClass) availableWithNominated(w *worker) api.Resources {
	if c.key.untilCancelled && w.nominated != (api.Resources{}) {
		return w.freeNow()
	}
	return c.availableOn(w)
}

// runsUntilCancelled reports whether the lane's tasks take whatever room there is.
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
