package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// slotSet is the slots of one reservation on one worker.
type slotSet struct {
	reservation *reservation
	worker      *worker
	slots       int
	// used counts the slots in which a run is open or nominated.
	used int
}

// addSlot puts one slot of the reservation on a worker.
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

// dropSlots takes slots off a worker; they are pending from then on. Runs in slots that
// are gone go on as ordinary ones, nominations for them end.
func (t *reservationTable) dropSlots(s *slotSet, count int) {
	if count <= 0 {
		return
	}
	left := s.slots - count
	t.evict(s, s.used-left)
	t.workers.updateSlots(s.worker, func() {
		// Evicting ends runs, and so may have dropped some already.
		s.reservation.placed -= max(s.slots-left, 0)
		s.slots = min(s.slots, left)
		if s.slots == 0 {
			s.remove()
		}
	})
	s.reservation.searched = false
	t.workers.addChanged(s.worker)
}

// remove takes a set without slots off its worker and its reservation.
func (s *slotSet) remove() {
	isThis := func(other *slotSet) bool { return other == s }
	s.worker.slots = slices.DeleteFunc(s.worker.slots, isThis)
	s.reservation.slots = slices.DeleteFunc(s.reservation.slots, isThis)
}

// evict makes so many runs in slots ordinary runs, and ends nominations for slots.
func (t *reservationTable) evict(s *slotSet, count int) {
	for _, r := range s.worker.sortedRuns(func(r *run) bool { return r.slot == s }) {
		if count <= 0 {
			return
		}
		// A nomination that ended may have had more runs here.
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

// dropUnsupportedSlots takes slots off a worker that no longer has the capacity for
// them: those that are not in use, and of these the window that starts last first. Each
// drop changes the profile, so that the look at it starts anew.
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

// lastUnused returns a set with an unused slot that counts at that moment, the window
// that starts last; nil if there is none.
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

// dropAllSlots takes all slots off a worker.
func (t *reservationTable) dropAllSlots(w *worker) {
	for _, s := range slices.Clone(w.slots) {
		t.dropSlots(s, s.slots)
	}
}

// dropMismatchedSlots takes off the slots that a worker does not serve any more.
func (t *reservationTable) dropMismatchedSlots(w *worker) {
	for _, s := range slices.Clone(w.slots) {
		if !s.reservation.pool.matches(w) || w.Suspect {
			t.dropSlots(s, s.slots)
		}
	}
}

// assignSlots finds workers for pending slots. Once all workers were searched, only
// those that changed are searched again.
func (t *reservationTable) assignSlots(changed []*worker) {
	for _, r := range t.windows {
		if r.pending() <= 0 {
			continue
		}
		candidates := changed
		if !r.searched {
			candidates = r.pool.workers
			r.searched = true
		}
		t.assign(r, candidates)
	}
}

// assign fills the best worker first, and looks at it again after each slot: a heap
// keeps the candidates, so that each slot costs the logarithm of their number.
func (t *reservationTable) assign(r *reservation, candidates []*worker) {
	var open slotCandidateHeap
	for _, w := range slices.Clone(candidates) {
		if !r.pool.matches(w) || !r.SlotSize.Fits(w.Capacity) {
			continue
		}
		t.adopt(r, w)
		if s, ok := t.slotCandidateOn(r, w); ok {
			open = append(open, s)
		}
	}
	heap.Init(&open)
	for r.pending() > 0 && len(open) > 0 {
		best := open[0].worker
		t.addSlot(r, best)
		if s, ok := t.slotCandidateOn(r, best); ok {
			open[0] = s
			heap.Fix(&open, 0)
			continue
		}
		heap.Pop(&open)
	}
}

// adopt lets runs that the queue started in the open window fill pending slots where
// they are, as after a change of the leader.
func (t *reservationTable) adopt(r *reservation, w *worker) {
	if r.Start > t.clock.now || len(w.runs) == 0 {
		return
	}
	mayFill := func(o *run) bool {
		sameService := r.Service == "" || r.Service == o.service
		return o.queue.Name() == r.Queue && o.slot == nil && !o.nominated && !o.stopping &&
			o.started >= r.Start && sameService && o.need.Fits(r.SlotSize)
	}
	for _, o := range w.sortedRuns(mayFill) {
		if r.pending() <= 0 {
			return
		}
		if !fits(r.SlotSize, w.slackDuring(r, o)) {
			return
		}
		s := t.addSlot(r, w)
		t.workers.updateRun(o, func() { o.enterSlot(s) })
	}
}

// slotCandidate is a worker that has capacity for one more slot.
type slotCandidate struct {
	worker *worker
	// preempted is the size of what preemptible runs take that the slot needs.
	preempted float64
	// freeSize is the size of the least slack during the window.
	freeSize float64
}

// slotCandidateOn returns the candidate that a worker is, if it is one.
func (t *reservationTable) slotCandidateOn(r *reservation, w *worker) (slotCandidate, bool) {
	slack := w.slackDuring(r, nil)
	if !fits(r.SlotSize, slack) || w.restricted {
		return slotCandidate{}, false
	}
	return slotCandidate{
		worker:    w,
		preempted: resources.NormalizedSize(resources.Lacking(r.SlotSize, slack.Sub(w.preemptible)), t.workers.largest),
		freeSize:  resources.NormalizedSize(slack, t.workers.largest),
	}, true
}

// slotCandidateHeap implements heap.Interface: least preempted first, then the fullest.
type slotCandidateHeap []slotCandidate

func (h slotCandidateHeap) Len() int { return len(h) }
func (h slotCandidateHeap) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(h[i].preempted, h[j].preempted),
		cmp.Compare(h[i].freeSize, h[j].freeSize),
		compareName(h[i].worker, h[j].worker),
	) < 0
}
func (h slotCandidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *slotCandidateHeap) Push(item any) { *h = append(*h, item.(slotCandidate)) }

// Pop implements heap.Interface.
func (h *slotCandidateHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	*h = (*h)[:last]
	return s
}
