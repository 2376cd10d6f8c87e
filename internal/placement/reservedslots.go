package placement

import (
	"slices"

	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// slotSet is the slices of one reservation on one worker.
type slotSet struct {
	reservation *reservation
	worker      *worker
	slots       int
	// used counts slices in which a run is open or nominated.
	used int
}

// addSlot puts one slice of the reservation on a worker.
func (t *reservationTable) addSlot(r *reservation, on *worker) *slotSet {
	at, found := slices.BinarySearchFunc(r.slots, on, func(s *slotSet, w *worker) int { return compareName(s.worker, w) })
	if !found {
		r.slots = slices.Insert(r.slots, at, &slotSet{reservation: r, worker: on})
	}
	s := r.slots[at]
	t.workers.updateSlots(on, func() {
		if !found {
			on.slots = append(on.slots, s)
		}
		s.slots++
		r.placed++
	})
	t.workers.addChanged(on)
	return s
}

// dropSlots takes slices off a worker; they are pending from then on. Runs in
// slices that are gone go on as ordinary ones, nominations end.
func (t *reservationTable) dropSlots(s *slotSet, count int) {
	if count <= 0 {
		return
	}
	left := s.slots - count
	t.evict(s, s.used-left)
	t.workers.updateSlots(s.worker, func() {
		// Evicting may have made settle take some already.
		s.reservation.placed -= max(s.slots-left, 0)
		s.slots = min(s.slots, left)
		if s.slots == 0 {
			s.remove()
		}
	})
	s.reservation.searched = false
	t.workers.addChanged(s.worker)
}

func (s *slotSet) remove() {
	isThis := func(other *slotSet) bool { return other == s }
	s.worker.slots = slices.DeleteFunc(s.worker.slots, isThis)
	s.reservation.slots = slices.DeleteFunc(s.reservation.slots, isThis)
}

// evict makes runs in slices ordinary runs, and cancels nominations for slices.
func (t *reservationTable) evict(s *slotSet, count int) {
	for _, r := range s.worker.sortedRuns(func(r *run) bool { return r.slot == s }) {
		if count <= 0 {
			return
		}
		// A canceled unit may have had more runs here.
		if r.slot != s {
			continue
		}
		before := s.used
		if r.nominated {
			t.revokeNomination(r.task)
		} else {
			t.workers.updateRun(r, func() { r.leaveSlot() })
		}
		count -= before - s.used
	}
}

// dropUnsupportedSlots takes slices off a worker that no longer has the room for them: those
// that are not in use, and of these the window that starts last first.
func (t *reservationTable) dropUnsupportedSlots(w *worker) {
	for at := 0; at < len(w.profile); {
		if !resources.IsNegative(w.profile[at].slack) {
			at++
			continue
		}
		unused := w.lastUnused(w.profile[at].at)
		if unused == nil {
			at++
			continue
		}
		t.dropSlots(unused, 1)
		at = 0
	}
}

// lastUnused returns a set with an unused slice that counts at that moment, the
// window that starts last; nil if there is none.
func (w *worker) lastUnused(moment record.Millis) *slotSet {
	var last *slotSet
	for _, s := range w.slots {
		if s.used == s.slots || !s.reservation.openAt(moment) {
			continue
		}
		if last == nil || compareReservation(last.reservation, s.reservation) < 0 {
			last = s
		}
	}
	return last
}

func (t *reservationTable) dropAllSlots(w *worker) {
	for _, s := range slices.Clone(w.slots) {
		t.dropSlots(s, s.slots)
	}
}

// dropMismatchedSlots takes off the slices that a worker does not serve any more.
func (t *reservationTable) dropMismatchedSlots(w *worker) {
	for _, s := range slices.Clone(w.slots) {
		if !s.reservation.pool.matches(w) || w.Suspect {
			t.dropSlots(s, s.slots)
		}
	}
}
