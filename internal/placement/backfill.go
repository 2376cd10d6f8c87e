package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/indexheap"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// Backfill reservations. Where capacity is freed in small pieces, small tasks take each
// piece, and a large task waits for as long as small ones are waiting. A burst of a queue
// that defers has a steady supply of small tasks, so it would keep large tasks of the
// other queues waiting until it is over, although those tasks go first. So, as in EASY
// backfilling (Lifka, "The ANL/IBM SP scheduling system", 1995), one worker is reserved
// for each sub-queue of those other queues that found no worker: the worker that is
// expected to have the capacity earliest. That moment is its shadow time. Tasks that go
// after the first task of the sub-queue leave that worker alone until the task is placed.
// Unlike in EASY, a task that would end before the shadow time is not placed on the
// reserved worker either.

const (
	// backfillWorkerDivisor bounds the reserved workers of a priority level to this
	// fraction of all workers: 1/backfillWorkerDivisor.
	backfillWorkerDivisor = 2
	// maxBackfillReservations bounds the reserved workers of a priority level: to find
	// each one takes a scan of all workers.
	maxBackfillReservations = 16
	// maxBackfillCandidates bounds the workers whose shadow time is computed for one
	// sub-queue.
	maxBackfillCandidates = 32
)

// backfillReservations owns the list of workers that are reserved for a sub-queue, and
// the field worker.backfillFor.
type backfillReservations struct {
	// disabled is set if no worker is to be reserved.
	disabled bool
	// reserved are the workers with backfillFor set. They stay reserved between two
	// passes: capacity that is freed there in pieces must not go to other tasks before it
	// suffices.
	reserved []*worker
	// blocked are sub-queues whose first task or gang fitted in the last pass only on
	// workers reserved for others. The next pass activates them.
	blocked []*subQueue

	clock   *clock
	workers *workerIndex
}

// levelBackfill holds the backfill reservations of one priority level during a pass.
type levelBackfill struct {
	backfill *backfillReservations
	// competing are the queues of the level with BySlack; empty if no queue defers and no
	// worker is reserved.
	competing competingQueues
	// reserved are the workers reserved in this level now; initialized is set once
	// reserveWorkers has reserved workers for the sub-queues that found none in earlier
	// passes.
	reserved    []*worker
	initialized bool
	// deferredTo is true for the queues whose sub-queues get reservations: those to which
	// another queue defers.
	deferredTo map[*fairshare.Queue]bool
}

// dropStale drops the reservations whose sub-queue no longer waits as unschedulable,
// whose service is no longer short of processors, or whose worker can no longer run the
// class, even once the runs that have an end are over.
func (b *backfillReservations) dropStale() {
	b.reserved = slices.DeleteFunc(b.reserved, func(w *worker) bool {
		sub := w.backfillFor
		if sub.class.unschedulable && len(sub.tasks) > 0 && sub.class.isProcessorBound() && sub.class.pool.matches(w) && sub.class.fitsOnceRunsEnd(w) {
			return false
		}
		w.backfillFor = nil
		return true
	})
}

// activateBlocked lets the pass look at the sub-queues that the last pass blocked.
func (b *backfillReservations) activateBlocked() {
	for _, sub := range b.blocked {
		if len(sub.tasks) > 0 {
			sub.Activate()
		}
	}
	b.blocked = nil
}

// block lets the next pass look at a sub-queue again.
func (b *backfillReservations) block(sub *subQueue) { b.blocked = append(b.blocked, sub) }

// begin returns the reservations of a level for this pass, starting with the workers that
// earlier passes reserved.
func (b *backfillReservations) begin(level *priorityLevel, anyDeferences bool) *levelBackfill {
	opened := &levelBackfill{backfill: b, reserved: b.reassign(level)}
	if anyDeferences || len(opened.reserved) > 0 {
		opened.competing = competingQueuesOf(level)
	}
	return opened
}

// reassign returns the workers that are reserved for sub-queues of a level, and chooses
// anew which worker each sub-queue gets: earlier placements may have taken capacity
// there. The sub-queue that goes first gets the worker with the earliest shadow time.
func (b *backfillReservations) reassign(level *priorityLevel) []*worker {
	var reserved []*worker
	var subQueues []*subQueue
	for _, w := range b.reserved {
		if w.backfillFor.parent.level == level {
			subQueues = append(subQueues, w.backfillFor)
			w.backfillFor = nil
		}
	}
	slices.SortFunc(subQueues, compareFirstTask)
	for _, sub := range subQueues {
		if w := b.earliestWorker(sub.class); w != nil {
			w.backfillFor = sub
			reserved = append(reserved, w)
		}
	}
	return reserved
}

// end keeps the workers that are still reserved in a level for the next pass.
func (r *levelBackfill) end(level *priorityLevel) {
	b := r.backfill
	b.reserved = slices.DeleteFunc(b.reserved, func(w *worker) bool {
		return w.backfillFor == nil || w.backfillFor.parent.level == level
	})
	b.reserved = append(b.reserved, r.reserved...)
}

// reserveWorkers reserves workers, once a pass, for the sub-queues that found no worker
// in earlier passes.
func (r *levelBackfill) reserveWorkers() {
	if r.initialized || r.backfill.disabled {
		return
	}
	r.initialized = true
	r.deferredTo = r.competing.deferredTo()
	var unschedulable []*subQueue
	for _, q := range r.competing {
		if r.deferredTo[q.queue] {
			unschedulable = q.appendUnschedulable(unschedulable)
		}
	}
	slices.SortFunc(unschedulable, compareFirstTask)
	for _, sub := range unschedulable {
		if r.indexFor(sub) < 0 {
			r.reserveFor(sub)
		}
	}
}

// indexFor returns the index in reserved of the worker that is reserved for a sub-queue,
// or -1 if there is none.
func (r *levelBackfill) indexFor(sub *subQueue) int {
	return slices.IndexFunc(r.reserved, func(w *worker) bool { return w.backfillFor == sub })
}

// reserveFor reserves a worker for a sub-queue. It does nothing if the level has its
// maximum of reserved workers, or if the service is not short of processors: no task
// should wait while many processors are free.
func (r *levelBackfill) reserveFor(sub *subQueue) {
	maxReserved := min(len(r.backfill.workers.byID)/backfillWorkerDivisor, maxBackfillReservations)
	if len(r.reserved) >= maxReserved || !sub.class.isProcessorBound() {
		return
	}
	if w := r.backfill.earliestWorker(sub.class); w != nil {
		w.backfillFor = sub
		r.reserved = append(r.reserved, w)
	}
}

// update adjusts the reservations after an attempt to place from the sub-queue: a
// sub-queue without tasks loses its worker; one that found no worker gets one if another
// queue defers to its queue.
func (r *levelBackfill) update(sub *subQueue) {
	at := r.indexFor(sub)
	placed := len(sub.tasks) == 0
	switch {
	case at >= 0 && placed:
		r.reserved[at].backfillFor = nil
		r.reserved = slices.Delete(r.reserved, at, at+1)
	case at < 0 && !placed && sub.position == indexheap.None && sub.class != nil && r.deferredTo[sub.parent.queue]:
		r.reserveFor(sub)
	}
}

// appendUnschedulable appends the queue's sub-queues whose class is unschedulable.
func (q *priorityQueue) appendUnschedulable(subQueues []*subQueue) []*subQueue {
	for c, sub := range q.subQueues {
		if c.unschedulable {
			subQueues = append(subQueues, sub)
		}
	}
	return subQueues
}

// backfillCandidate is a worker that may be reserved for a class. shortfall is the
// normalized size of what it has too little of for one task now.
type backfillCandidate struct {
	worker    *worker
	shortfall float64
}

// earliestWorker returns the candidate with the earliest shadow time, ties by name; nil
// if no worker will have the capacity.
func (b *backfillReservations) earliestWorker(c *equivalenceClass) *worker {
	var best *worker
	var earliest record.Millis
	for _, candidate := range b.candidates(c) {
		w := candidate.worker
		shadowTime := w.shadowTime(c.key.need, b.clock.now)
		if best == nil || cmp.Or(cmp.Compare(shadowTime, earliest), compareName(w, best)) < 0 {
			best, earliest = w, shadowTime
		}
	}
	return best
}

// candidates returns up to maxBackfillCandidates workers of the class's pool, smallest
// shortfall first. It leaves out workers that are reserved already and those on which the
// class would not fit once the runs that have an end are over.
func (b *backfillReservations) candidates(c *equivalenceClass) []backfillCandidate {
	closest := make([]backfillCandidate, 0, maxBackfillCandidates+1)
	for _, w := range c.pool.workers {
		if w.backfillFor != nil || !c.fitsOnceRunsEnd(w) {
			continue
		}
		shortfall := resources.NormalizedSize(resources.Shortfall(c.key.need, c.availableOn(w)), b.workers.largestCapacity)
		candidate := backfillCandidate{worker: w, shortfall: shortfall}
		if len(closest) == maxBackfillCandidates && candidate.shortfall >= closest[maxBackfillCandidates-1].shortfall {
			continue
		}
		// Workers with equal shortfall stay in the order of the pool, so a new one goes
		// after them.
		at, _ := slices.BinarySearchFunc(closest, candidate, func(a, b backfillCandidate) int {
			return cmp.Or(cmp.Compare(a.shortfall, b.shortfall), -1)
		})
		closest = slices.Insert(closest, at, candidate)
		closest = closest[:min(len(closest), maxBackfillCandidates)]
	}
	return closest
}

// shadowTime returns when the worker will have what is needed, if its runs end as
// expected and no run is added; forever if it will not. A run that is overdue is taken to
// end now, one that runs until cancelled never ends.
func (w *worker) shadowTime(need api.Resources, now record.Millis) record.Millis {
	free := w.free
	if fits(need, free) {
		return now
	}
	runs := make([]*run, 0, len(w.runs))
	for r := range w.runs {
		if !r.untilCancelled {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.expectedEnd, b.expectedEnd) })
	for _, r := range runs {
		if free = free.Add(r.need); fits(need, free) {
			return max(r.expectedEnd, now)
		}
	}
	return forever
}

// fitsOnceRunsEnd reports whether the class fits on the worker once all runs there have
// ended, except those counted in worker.longRunning.
func (c *equivalenceClass) fitsOnceRunsEnd(w *worker) bool {
	return !w.restricted && withinSpread(c.spread, &w.Worker) &&
		fits(c.key.need, w.Capacity.Sub(w.longRunning)) && c.fitsBesideReservedSlots(w)
}

// isProcessorBound reports whether the class's service is highly utilized in processors.
func (c *equivalenceClass) isProcessorBound() bool {
	return c.utilization.IsProcessorBound(c.key.selector.service)
}

// backfillSearch describes a search for the first task of a sub-queue, or for its gang,
// while workers are reserved for others.
type backfillSearch struct {
	subQueue *subQueue
	// defers is set if the queue of the sub-queue defers to others now.
	defers bool
}

// excludes reports whether the search must skip the worker, because it is reserved for a
// task of the same priority level that goes first. A nil search excludes no worker.
func (s *backfillSearch) excludes(w *worker) bool {
	switch {
	case s == nil, w.backfillFor == nil, w.backfillFor == s.subQueue, w.backfillFor.parent.level != s.subQueue.parent.level:
		return false
	case s.defers && s.subQueue.parent.queue.DefersTo(w.backfillFor.parent.queue):
		return true
	default:
		return compareFirstTask(w.backfillFor, s.subQueue) < 0
	}
}

// planNext plans the first active sub-queue of the queue. It returns false once the pass
// is over.
func (p *pass) planNext(q *priorityQueue, r *levelBackfill) bool {
	first := q.active[0]
	if len(r.competing) == 0 {
		return p.planSubQueue(first)
	}
	r.reserveWorkers()
	defer r.update(first)
	if len(r.reserved) == 0 {
		return p.planSubQueue(first)
	}
	return p.planAroundReservations(first, r.competing.defers(q.queue))
}

// planAroundReservations places the first task of the sub-queue, or its gang, without the
// workers that are reserved for tasks that go before it. A task that fits only on those
// workers is blocked until the next pass. It returns false once the pass is over.
func (p *pass) planAroundReservations(sub *subQueue, defers bool) bool {
	classes := sub.searchedClasses()
	setBackfillSearch(classes, &backfillSearch{subQueue: sub, defers: defers})
	defer setBackfillSearch(classes, nil)
	if sub.class == nil {
		return p.planGangAroundReservations(sub)
	}
	if sub.class.unschedulable || p.isUnaffectedByBackfill(sub) {
		return p.planSubQueue(sub)
	}
	sub.deactivate()
	p.engine.backfill.block(sub)
	return true
}

// planGangAroundReservations is planAroundReservations for a gang. Its class counts
// include the reserved workers: if they show no shortage, the gang may lack only those
// workers, and is blocked until the next pass.
func (p *pass) planGangAroundReservations(sub *subQueue) bool {
	proceed := p.placeGang(sub)
	if len(sub.awaitedClasses) == 0 {
		return proceed
	}
	if short, _ := sub.findShortage(); short == nil {
		p.engine.backfill.block(sub)
	}
	return proceed
}

// isUnaffectedByBackfill reports whether the first task of the sub-queue fits on a worker
// that is not excluded, or fits on no worker at all, excluded or not.
func (p *pass) isUnaffectedByBackfill(sub *subQueue) bool {
	if _, found := p.engine.finder.findTarget(sub.tasks[0]); found {
		return true
	}
	search := sub.class.backfill
	sub.class.backfill = nil
	defer func() { sub.class.backfill = search }()
	_, found := p.engine.finder.findTarget(sub.tasks[0])
	return !found
}

// searchedClasses returns the classes for which placing from the sub-queue searches
// targets.
func (sub *subQueue) searchedClasses() []*equivalenceClass {
	if sub.class == nil {
		return sub.classes()
	}
	return []*equivalenceClass{sub.class}
}

// setBackfillSearch sets the backfill search of the classes; nil ends it.
func setBackfillSearch(classes []*equivalenceClass, s *backfillSearch) {
	for _, c := range classes {
		c.backfill = s
	}
}
