package placement

import (
	"github.com/decklever/decklever/internal/featuregate"
)

// seat is where a task may run: a slice if one is named, else a worker's room
// outside of slices of the task's own queue.
type placementTarget struct {
	worker *worker
	slot   *slotSet
}

// findTarget finds a seat whose room is there now, slices first.
func (e *Engine) findTarget(w *waiting) (placementTarget, bool) {
	if s := e.fullestFreeSlot(w.class); s != nil {
		return placementTarget{worker: s.worker, slot: s}, true
	}
	on := e.fullest(w)
	if on == nil {
		on = ignoringHeadroom(w.class, func() *worker { return e.fullest(w) })
	}
	if on == nil && len(e.workers.restricted) > 0 && !e.off.Has(featuregate.LastResortCapacity) {
		on = withRestricted(w.class, func() *worker { return e.fullest(w) })
	}
	return placementTarget{worker: on}, on != nil
}

// fullestFreeSlot returns the open slice on the fullest worker that has its room
// now, or nil.
func (e *Engine) fullestFreeSlot(c *equivalenceClass) *slotSet {
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
