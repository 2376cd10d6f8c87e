package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// slotSet holds the slots of one reservation on one worker.
type slotSet struct {
	reservation *reservation
	worker      *worker
	slots       int
	// used counts the slots that have an open or nominated run.
	used int
}

// addSlot assigns one more slot of the reservation to a worker.
func (t *reservationTable) addSlot(r *reservation, target *worker) *slotSet {
	at, found := slices.BinarySearchFunc(r.slots, target, func(s *slotSet, w *worker) int { return compareName(s.worker, w) })
	if !found {
		r.slots = slices.Insert(r.slots, at, &slotSet{reservation: r, worker: target})
	}
	s := r.slots[at]
	t.workers.updateSlots(target, func() {
		if !found {
			target.slots = append(target.slots, s)
		}
		s.slots++
		r.assigned++
	})
	t.workers.addChanged(target)
	return s
}

// dropSlots takes slots off a worker; they are pending afterwards. Open runs in dropped
// slots continue as ordinary runs, nominations for them end.
func (t *reservationTable) dropSlots(s *slotSet, count int) {
	if count <= 0 {
		return
	}
	remaining := s.slots - count
	t.evictRuns(s, s.used-remaining)
	t.workers.updateSlots(s.worker, func() {
		// Evicting may cancel nominations, which may have dropped some of these slots
		// already.
		s.reservation.assigned -= max(s.slots-remaining, 0)
		s.slots = min(s.slots, remaining)
		if s.slots == 0 {
			s.remove()
		}
	})
	s.reservation.searched = false
	t.workers.addChanged(s.worker)
}

// remove takes an empty set off its worker and its reservation.
func (s *slotSet) remove() {
	isThis := func(other *slotSet) bool { return other == s }
	s.worker.slots = slices.DeleteFunc(s.worker.slots, isThis)
	s.reservation.slots = slices.DeleteFunc(s.reservation.slots, isThis)
}

// evictRuns frees count slots in use: open runs in them become ordinary runs, nominations
// for them end.
func (t *reservationTable) evictRuns(s *slotSet, count int) {
	for _, r := range s.worker.sortedRuns(func(r *run) bool { return r.slot == s }) {
		if count <= 0 {
			return
		}
		// The nomination of an earlier run may have had this run as well.
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

// dropUnsupportedSlots drops slots for which a worker no longer has the capacity: only
// unused ones, those of the window that starts last first. Each drop changes the profile,
// so the check restarts at its first point.
func (t *reservationTable) dropUnsupportedSlots(w *worker) {
	for at := 0; at < len(w.profile); {
		if !resources.IsNegative(w.profile[at].slack) {
			at++
			continue
		}
		unused := w.latestUnused(w.profile[at].at)
		if unused == nil {
			at++
			continue
		}
		t.dropSlots(unused, 1)
		at = 0
	}
}

// latestUnused returns a set with an unused slot whose window is open at that moment, the
// one whose window starts last; nil if there is none.
func (w *worker) latestUnused(moment record.Millis) *slotSet {
	var latest *slotSet
	for _, s := range w.slots {
		if s.used == s.slots || !s.reservation.openAt(moment) {
			continue
		}
		if latest == nil || compareReservation(latest.reservation, s.reservation) < 0 {
			latest = s
		}
	}
	return latest
}

// dropAllSlots drops all slots of a worker.
func (t *reservationTable) dropAllSlots(w *worker) {
	for _, s := range slices.Clone(w.slots) {
		t.dropSlots(s, s.slots)
	}
}

// dropMismatchedSlots drops the slots of reservations that the worker no longer matches;
// all slots if it is suspect.
func (t *reservationTable) dropMismatchedSlots(w *worker) {
	for _, s := range slices.Clone(w.slots) {
		if !s.reservation.pool.matches(w) || w.Suspect {
			t.dropSlots(s, s.slots)
		}
	}
}

// assignSlots assigns pending slots to workers. For a reservation for which all workers
// were searched it searches only those that changed.
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

// assign assigns slots to the best candidate first, and compares that worker again after
// each slot. A heap holds the candidates, so that each slot costs the logarithm of their
// number.
func (t *reservationTable) assign(r *reservation, candidates []*worker) {
	var candidateHeap slotCandidateHeap
	for _, w := range slices.Clone(candidates) {
		if !r.pool.matches(w) || !r.SlotSize.Fits(w.Capacity) {
			continue
		}
		t.adopt(r, w)
		if s, ok := t.slotCandidateOn(r, w); ok {
			candidateHeap = append(candidateHeap, s)
		}
	}
	heap.Init(&candidateHeap)
	for r.pending() > 0 && len(candidateHeap) > 0 {
		best := candidateHeap[0].worker
		t.addSlot(r, best)
		if s, ok := t.slotCandidateOn(r, best); ok {
			candidateHeap[0] = s
			heap.Fix(&candidateHeap, 0)
			continue
		}
		heap.Pop(&candidateHeap)
	}
}

// adopt assigns pending slots to a worker for runs that the reservation's queue started
// there in the open window, and moves the runs into them. This restores the slots in use
// after a change of leader.
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

// slotCandidate is a worker that has the capacity for one more slot. Sizes are
// normalized.
type slotCandidate struct {
	worker *worker
	// preempted is the size of what the slot needs and preemptible runs hold now.
	preempted float64
	// freeSize is the size of the least slack during the window.
	freeSize float64
}

// slotCandidateOn returns the candidate for a worker; false if it has no capacity for a
// slot or is restricted.
func (t *reservationTable) slotCandidateOn(r *reservation, w *worker) (slotCandidate, bool) {
	slack := w.slackDuring(r, nil)
	if !fits(r.SlotSize, slack) || w.restricted {
		return slotCandidate{}, false
	}
	return slotCandidate{
		worker:    w,
		preempted: resources.NormalizedSize(resources.Shortfall(r.SlotSize, slack.Sub(w.preemptible)), t.workers.largestCapacity),
		freeSize:  resources.NormalizedSize(slack, t.workers.largestCapacity),
	}, true
}

// slotCandidateHeap implements heap.Interface: least preempted first, then the fullest
// worker, then by name.
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
