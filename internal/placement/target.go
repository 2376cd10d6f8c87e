package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/internal/featuregate"
)

// placementTarget is where a task may run: a reserved slot if one is named, else what a
// worker has free outside of slots of the task's own queue.
type placementTarget struct {
	worker *worker
	slot   *slotSet
}

// targetFinder searches the workers for a task that waits: which are feasible, and of
// these the best. It changes nothing but the preferred domain of a step.
type targetFinder struct {
	// off are the mechanisms that are switched off.
	off featuregate.DisabledSet

	workers   *workerIndex
	steps     *stepTable
	preferred *preferredReserve
}

// findTarget finds a target that is free now: reserved slots first, then workers, at last
// those that the class takes only if no other fits.
func (f *targetFinder) findTarget(w *waiting) (placementTarget, bool) {
	if s := w.class.fullestFreeSlot(); s != nil {
		return placementTarget{worker: s.worker, slot: s}, true
	}
	on := f.fullest(w)
	if on == nil {
		on = ignoringHeadroom(w.class, func() *worker { return f.fullest(w) })
	}
	if on == nil && len(f.workers.restricted) > 0 && !f.off.Has(featuregate.LastResortCapacity) {
		on = withRestricted(w.class, func() *worker { return f.fullest(w) })
	}
	return placementTarget{worker: on}, on != nil
}

// placementOrder puts gang members that need most first: the small ones fit in what
// these leave.
func (f *targetFinder) placementOrder(tasks []*waiting) []*waiting {
	members := slices.Clone(tasks)
	slices.SortFunc(members, func(a, b *waiting) int {
		if byNeed := cmp.Compare(f.workers.sizeOf(b.class), f.workers.sizeOf(a.class)); byNeed != 0 {
			return byNeed
		}
		return compareWaiting(a, b)
	})
	return members
}

// fullestFreeSlot returns the open slice on the fullest worker that has its room
// now, or nil.
func (c *equivalenceClass) fullestFreeSlot() *slotSet {
	var best *slotSet
	for _, r := range c.reservations {
		for _, s := range r.slots {
			if !c.canEnterSlot(s) || !fits(c.key.need, s.worker.free) {
				continue
			}
			if best == nil || compareFullest(s.worker, best.worker) < 0 {
				best = s
			}
		}
	}
	return best
}

// canEnterSlot reports whether a task of the class may run in a slice of the set,
// room aside.
func (c *equivalenceClass) canEnterSlot(s *slotSet) bool {
	return s.used < s.slots && c.isSlotReservedFor(s) && withinSpread(c.spread, &s.worker.Worker) && c.admits(s.worker)
}

// isSlotReservedFor reports whether the set is of a reservation for the class, in its
// window and on a worker that serves the class.
func (c *equivalenceClass) isSlotReservedFor(s *slotSet) bool {
	r := s.reservation
	if c.key.queue == "" || r.Queue != c.key.queue || !r.openAt(c.clock.now) || !c.key.need.Fits(r.SlotSize) {
		return false
	}
	served, wanted := r.pool.selector, c.pool.selector
	if served.service == wanted.service && served.labels == wanted.labels {
		return true
	}
	return (r.Service == "" || r.Service == wanted.service) && c.pool.matches(s.worker)
}

// freeSlots counts the slots of the sets that the class may enter.
func (c *equivalenceClass) freeSlots(slots []*slotSet) int {
	open := 0
	for _, s := range slots {
		if c.canEnterSlot(s) {
			open += s.slots - s.used
		}
	}
	return open
}
