package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/decklever/decklever/internal/placement/resources"
)

// assignSlots finds workers for pending slices. Only workers that changed are
// looked at again.
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

// assign fills the best worker first, and looks at it again after each slice.
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

// adopt lets runs that the queue started in the open window fill pending
// slices where they are, as after a change of the leader.
func (t *reservationTable) adopt(r *reservation, w *worker) {
	if r.Start > t.clock.now || len(w.runs) == 0 {
		return
	}
	mayFill := func(o *run) bool {
		sameService := r.Service == "" || r.Service == o.service
		return o.queue.rule.Name == r.Queue && o.slot == nil && !o.nominated && !o.stopping &&
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

// slotCandidate is a worker that has room for one more slice.
type slotCandidate struct {
	worker *worker
	// preempted is the room of preemptible runs that the slice needs.
	preempted float64
	// freeSize is what the worker has at the window's start.
	room float64
}

func (t *reservationTable) slotCandidateOn(r *reservation, w *worker) (slotCandidate, bool) {
	slack := w.slackDuring(r, nil)
	if !fits(r.SlotSize, slack) || w.restricted {
		return slotCandidate{}, false
	}
	return slotCandidate{
		worker:    w,
		preempted: resources.NormalizedSize(resources.Lacking(r.SlotSize, slack.Sub(w.preemptible)), t.workers.largest),
		room:      resources.NormalizedSize(slack, t.workers.largest),
	}, true
}

// slotCandidateHeap implements heap.Interface: least preempted first, then the fullest.
type slotCandidateHeap []slotCandidate

func (h slotCandidateHeap) Len() int { return len(h) }
func (h slotCandidateHeap) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(h[i].preempted, h[j].preempted),
		cmp.Compare(h[i].room, h[j].room),
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
