package placement

import (
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/record"
)

// seat is where a task may run: a slice if one is named, else a worker's room
// outside of slices of the task's own queue.
type placementTarget struct {
	worker *worker
	slice  *slotSet
}

// findTarget finds a seat whose room is there now, slices first.
func (e *Engine) findTarget(w *waiting) (placementTarget, bool) {
	if s := e.fullestFreeSlot(w.class); s != nil {
		return placementTarget{worker: s.worker, slice: s}, true
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

// newRun opens a run on a seat: its room is taken, or promised if nominated.
func (e *Engine) newRun(task *Task, to placementTarget, started record.Millis, nominated bool) *run {
	r := &run{
		task:            task.ID,
		service:         task.Spec.Service,
		need:            task.Spec.Resources,
		worker:          to.worker,
		queue:           e.queues.get(task.Queue),
		step:            e.step(task.ID.StepID()),
		priority:        task.Priority,
		preemptions:     task.Preemptions,
		specPreemptible: task.Spec.Preemptible,
		nominated:       nominated,
		inReservation:   to.slice != nil,

		untilCancelled: task.UntilCancelled,
	}
	r.preemptible = e.isPreemptible(task)
	r.startAt(started, task.Spec)
	if to.slice != nil {
		r.enterSlot(to.slice)
	}
	if !nominated {
		e.runs[r.task] = r
	}
	to.worker.runs[r] = struct{}{}
	e.workers.allocate(r)
	r.queue.countRun(1)
	r.step.count(to.worker, 1)
	e.countVictim(r, 1)
	return r
}
