package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// sliceSet is the slices of one reservation on one worker.
type sliceSet struct {
	reservation *reservation
	worker      *worker
	slots       int
	// used counts slices in which a run is open or nominated.
	used int
}

// Slices implements Booker, in the order of reservations and workers' names.
func (e *Engine) Slices() []Slices {
	var all []Slices
	for _, r := range e.reservations {
		for _, s := range r.sets {
			all = append(all, Slices{
				Reservation: r.ID, WorkerID: s.worker.ID, Worker: s.worker.Name,
				Slots: s.slots, Used: s.used,
			})
		}
	}
	return all
}

// addSlice puts one slice of the reservation on a worker.
func (e *Engine) addSlice(r *reservation, on *worker) *sliceSet {
	at, found := slices.BinarySearchFunc(r.sets, on, func(s *sliceSet, w *worker) int { return compareName(s.worker, w) })
	if !found {
		r.sets = slices.Insert(r.sets, at, &sliceSet{reservation: r, worker: on})
	}
	s := r.sets[at]
	e.workers.reshape(on, func() {
		if !found {
			on.slices = append(on.slices, s)
		}
		s.slots++
		r.placed++
	})
	e.workers.markChanged(on)
	return s
}

// dropSlices takes slices off a worker; they are pending from then on. Runs in
// slices that are gone go on as ordinary ones, nominations end.
func (e *Engine) dropSlices(s *sliceSet, count int) {
	if count <= 0 {
		return
	}
	left := s.slots - count
	e.evict(s, s.used-left)
	e.workers.reshape(s.worker, func() {
		// Evicting may have made settle take some already.
		s.reservation.placed -= max(s.slots-left, 0)
		s.slots = min(s.slots, left)
		if s.slots == 0 {
			s.remove()
		}
	})
	s.reservation.searched = false
	e.workers.markChanged(s.worker)
}

func (s *sliceSet) remove() {
	isThis := func(other *sliceSet) bool { return other == s }
	s.worker.slices = slices.DeleteFunc(s.worker.slices, isThis)
	s.reservation.sets = slices.DeleteFunc(s.reservation.sets, isThis)
}

// evict makes runs in slices ordinary runs, and cancels nominations for slices.
func (e *Engine) evict(s *sliceSet, count int) {
	for _, r := range s.worker.sortedRuns(func(r *run) bool { return r.slice == s }) {
		if count <= 0 {
			return
		}
		// A canceled unit may have had more runs here.
		if r.slice != s {
			continue
		}
		before := s.used
		if r.nominated {
			e.takeBackPromise(e.waiting[r.task])
		} else {
			e.workers.reaccount(r, func() { r.leaveSlice() })
		}
		count -= before - s.used
	}
}

func (r *run) enterSlice(s *sliceSet) {
	r.slice = s
	s.used++
}

func (r *run) leaveSlice() {
	if r.slice != nil {
		r.slice.used--
		r.slice = nil
	}
}

// sortedRuns returns runs of the worker in the order of their tasks.
func (w *worker) sortedRuns(wanted func(*run) bool) []*run {
	var runs []*run
	for r := range w.runs {
		if wanted(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareTask(a.task, b.task) })
	return runs
}

// settle takes slices off a worker that no longer has the room for them: those
// that are not in use, and of these the window that starts last first.
func (e *Engine) settle(w *worker) {
	for at := 0; at < len(w.points); {
		if !isNegative(w.points[at].slack) {
			at++
			continue
		}
		unused := w.lastUnused(w.points[at].at)
		if unused == nil {
			at++
			continue
		}
		e.dropSlices(unused, 1)
		at = 0
	}
}

// lastUnused returns a set with an unused slice that counts at that moment, the
// window that starts last; nil if there is none.
func (w *worker) lastUnused(moment record.Millis) *sliceSet {
	var last *sliceSet
	for _, s := range w.slices {
		if s.used == s.slots || !s.reservation.openAt(moment) {
			continue
		}
		if last == nil || compareReservation(last.reservation, s.reservation) < 0 {
			last = s
		}
	}
	return last
}

func (e *Engine) dropAllSlices(w *worker) {
	for _, s := range slices.Clone(w.slices) {
		e.dropSlices(s, s.slots)
	}
}

// dropSlicesOf takes off the slices that a worker does not serve any more.
func (e *Engine) dropSlicesOf(w *worker) {
	for _, s := range slices.Clone(w.slices) {
		if !s.reservation.pool.matches(w) || w.HeldBack {
			e.dropSlices(s, s.slots)
		}
	}
}

// assignSlices finds workers for pending slices. Only workers that changed are
// looked at again.
func (e *Engine) assignSlices(changed []*worker) {
	for _, r := range e.reservations {
		if r.pending() <= 0 {
			continue
		}
		candidates := changed
		if !r.searched {
			candidates = r.pool.workers
			r.searched = true
		}
		e.assign(r, candidates)
	}
}

// assign fills the best worker first, and looks at it again after each slice.
func (e *Engine) assign(r *reservation, candidates []*worker) {
	var open siteHeap
	for _, w := range slices.Clone(candidates) {
		if !r.pool.matches(w) || !r.Slice.Fits(w.Capacity) {
			continue
		}
		e.adopt(r, w)
		if s, ok := e.siteOn(r, w); ok {
			open = append(open, s)
		}
	}
	heap.Init(&open)
	for r.pending() > 0 && len(open) > 0 {
		best := open[0].worker
		e.addSlice(r, best)
		if s, ok := e.siteOn(r, best); ok {
			open[0] = s
			heap.Fix(&open, 0)
			continue
		}
		heap.Pop(&open)
	}
}

// adopt lets runs that the queue started in the open window fill pending
// slices where they are, as after a change of the leader.
func (e *Engine) adopt(r *reservation, w *worker) {
	if r.Start > e.now || len(w.runs) == 0 {
		return
	}
	mayFill := func(o *run) bool {
		sameService := r.Service == "" || r.Service == o.service
		return o.queue.rule.Name == r.Queue && o.slice == nil && !o.nominated && !o.stopping &&
			o.started >= r.Start && sameService && o.need.Fits(r.Slice)
	}
	for _, o := range w.sortedRuns(mayFill) {
		if r.pending() <= 0 {
			return
		}
		if !fits(r.Slice, w.slackDuring(r, o)) {
			return
		}
		s := e.addSlice(r, w)
		e.workers.reaccount(o, func() { o.enterSlice(s) })
	}
}

// site is a worker that has room for one more slice.
type site struct {
	worker *worker
	// preempted is the room of preemptible runs that the slice needs.
	preempted float64
	// room is what the worker has at the window's start.
	room float64
}

func (e *Engine) siteOn(r *reservation, w *worker) (site, bool) {
	slack := w.slackDuring(r, nil)
	if !fits(r.Slice, slack) || w.guarded {
		return site{}, false
	}
	return site{
		worker:    w,
		preempted: roomOf(lacking(r.Slice, slack.Sub(w.preemptible)), e.workers.largest),
		room:      roomOf(slack, e.workers.largest),
	}, true
}

// siteHeap implements heap.Interface: least preempted first, then the fullest.
type siteHeap []site

func (h siteHeap) Len() int { return len(h) }
func (h siteHeap) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(h[i].preempted, h[j].preempted),
		cmp.Compare(h[i].room, h[j].room),
		compareName(h[i].worker, h[j].worker),
	) < 0
}
func (h siteHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *siteHeap) Push(item any) { *h = append(*h, item.(site)) }

// Pop implements heap.Interface.
func (h *siteHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	*h = (*h)[:last]
	return s
}
