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

// Backfill reservations. Capacity that comes free piece by piece goes to small tasks, and
// a large task waits for as long as there are such. A burst that defers has small tasks
// without end, so that large tasks of the other queues would wait until it is over,
// although they go first. So, as in EASY backfilling (Lifka, "The ANL/IBM SP scheduling
// system", 1995), for each shape of task that found no worker one worker is reserved: that
// which is expected to have the capacity first, its shadow time. What goes after the task
// leaves that worker alone until the task is placed. Other than in EASY, a task that would
// end before the shadow time is not let onto the reserved worker.

const (
	// backfillWorkerDivisor: one worker in so many is reserved at most.
	backfillWorkerDivisor = 2
	// maxBackfillReservations bounds the workers reserved in one pass: each costs a look
	// at all workers.
	maxBackfillReservations = 16
	// maxBackfillCandidates bounds the workers whose runs are looked at for one sub-queue.
	maxBackfillCandidates = 32
)

// backfillReservations owns the workers that are reserved for a sub-queue, and
// worker.backfillFor.
type backfillReservations struct {
	// disabled has no worker reserved.
	disabled bool
	// reserved are the workers with backfillFor, between two passes. Capacity that comes free
	// there piece by piece must not go to others before it is enough.
	reserved []*worker
	// blocked are sub-queues that fitted in the last pass only on workers reserved for
	// others; the next pass looks at them again.
	blocked []*subQueue

	clock   *clock
	workers *workerIndex
}

// levelBackfill is the reservations of one priority level during a pass.
type levelBackfill struct {
	all *backfillReservations
	// competing are the queues that share by slack; none while no queue defers and no
	// worker is reserved.
	competing competingQueues
	// reserved are the workers that are reserved now; made is set once those sub-queues
	// that found no worker before have one.
	reserved []*worker
	made     bool
	// deferredTo are the queues whose sub-queues get one.
	deferredTo map[*fairshare.Queue]bool
}

// dropStale ends reservations for sub-queues that wait no longer, and of workers
// that will not have it.
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

// activateBlocked lets the pass look at the sub-queues that the last one blocked.
func (b *backfillReservations) activateBlocked() {
	for _, sub := range b.blocked {
		if len(sub.tasks) > 0 {
			sub.Activate()
		}
	}
	b.blocked = nil
}

// block has the next pass look at a sub-queue again.
func (b *backfillReservations) block(sub *subQueue) { b.blocked = append(b.blocked, sub) }

// begin starts with a level, and takes over the workers that are reserved in it.
func (b *backfillReservations) begin(level *priorityLevel, anyDeferences bool) *levelBackfill {
	found := &levelBackfill{all: b, reserved: b.take(level)}
	if anyDeferences || len(found.reserved) > 0 {
		found.competing = competingQueuesOf(level)
	}
	return found
}

// take returns the workers that are reserved for sub-queues of a level. Which of them is
// for which sub-queue is decided anew, since what went before may have taken capacity there:
// the sub-queue that goes first gets the worker with the earliest shadow time.
func (b *backfillReservations) take(level *priorityLevel) []*worker {
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
		if on := b.earliestWorker(sub.class); on != nil {
			on.backfillFor = sub
			reserved = append(reserved, on)
		}
	}
	return reserved
}

// end hands the workers that are still reserved in a level to the next pass.
func (r *levelBackfill) end(level *priorityLevel) {
	b := r.all
	b.reserved = slices.DeleteFunc(b.reserved, func(w *worker) bool {
		return w.backfillFor == nil || w.backfillFor.parent.level == level
	})
	b.reserved = append(b.reserved, r.reserved...)
}

// reserveWorkers reserves, once a pass, workers for sub-queues that found no worker before.
func (r *levelBackfill) reserveWorkers() {
	if r.made || r.all.disabled {
		return
	}
	r.made = true
	r.deferredTo = r.competing.deferredTo()
	var without []*subQueue
	for _, q := range r.competing {
		if r.deferredTo[q.queue] {
			without = q.appendUnschedulable(without)
		}
	}
	slices.SortFunc(without, compareFirstTask)
	for _, sub := range without {
		if r.indexFor(sub) < 0 {
			r.reserveFor(sub)
		}
	}
}

// indexFor is the index of the worker that is reserved for a sub-queue; negative without.
func (r *levelBackfill) indexFor(sub *subQueue) int {
	return slices.IndexFunc(r.reserved, func(w *worker) bool { return w.backfillFor == sub })
}

// reserveFor reserves a worker for a sub-queue, unless so many are reserved already or
// most processors of its service are free: then nothing is to wait beside free capacity.
func (r *levelBackfill) reserveFor(sub *subQueue) {
	bound := min(len(r.all.workers.byID)/backfillWorkerDivisor, maxBackfillReservations)
	if len(r.reserved) >= bound || !sub.class.isProcessorBound() {
		return
	}
	if on := r.all.earliestWorker(sub.class); on != nil {
		on.backfillFor = sub
		r.reserved = append(r.reserved, on)
	}
}

// update takes over what became of a sub-queue: one that was placed needs no worker any
// more, one that found no worker gets one.
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

// appendUnschedulable adds the sub-queues of classes that found no worker.
func (q *priorityQueue) appendUnschedulable(subQueues []*subQueue) []*subQueue {
	for c, sub := range q.subQueues {
		if c.unschedulable {
			subQueues = append(subQueues, sub)
		}
	}
	return subQueues
}

// backfillCandidate is a worker that may be reserved for a class, and how much it lacks.
type backfillCandidate struct {
	worker *worker
	lacks  float64
}

// earliestWorker returns the candidate with the earliest shadow time; nil if none will
// ever have the capacity.
func (b *backfillReservations) earliestWorker(c *equivalenceClass) *worker {
	var best *worker
	var least record.Millis
	for _, candidate := range b.candidates(c) {
		w := candidate.worker
		at := w.shadowTime(c.key.need, b.clock.now)
		if best == nil || cmp.Or(cmp.Compare(at, least), compareName(w, best)) < 0 {
			best, least = w, at
		}
	}
	return best
}

// candidates returns the workers of the class's pool that lack least of what it needs now,
// of those that are not reserved yet and will have it once the runs that have an end are
// over.
func (b *backfillReservations) candidates(c *equivalenceClass) []backfillCandidate {
	least := make([]backfillCandidate, 0, maxBackfillCandidates+1)
	for _, w := range c.pool.workers {
		if w.backfillFor != nil || !c.fitsOnceRunsEnd(w) {
			continue
		}
		lacks := resources.NormalizedSize(resources.Lacking(c.key.need, c.availableOn(w)), b.workers.largest)
		one := backfillCandidate{worker: w, lacks: lacks}
		if len(least) == maxBackfillCandidates && one.lacks >= least[maxBackfillCandidates-1].lacks {
			continue
		}
		// Those that lack as much stay in the order of the pool: a new one goes after them.
		at, _ := slices.BinarySearchFunc(least, one, func(a, b backfillCandidate) int {
			return cmp.Or(cmp.Compare(a.lacks, b.lacks), -1)
		})
		least = slices.Insert(least, at, one)
		least = least[:min(len(least), maxBackfillCandidates)]
	}
	return least
}

// shadowTime is when the worker will have what is needed, if all its runs end as expected
// and nothing else comes. A run that is overdue ends at any moment.
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

// fitsOnceRunsEnd reports whether the class fits on the worker once the runs that have an
// end are over.
func (c *equivalenceClass) fitsOnceRunsEnd(w *worker) bool {
	return !w.restricted && withinSpread(c.spread, &w.Worker) &&
		fits(c.key.need, w.Capacity.Sub(w.longRunning)) && c.fitsBesideReservedSlots(w)
}

// isProcessorBound reports whether the class's service is short of processors.
func (c *equivalenceClass) isProcessorBound() bool {
	return c.utilization.IsProcessorBound(c.key.selector.service)
}

// backfillSearch is a search for the first task of a sub-queue, or for its gang, while
// workers are reserved for others.
type backfillSearch struct {
	subQueue *subQueue
	// defers is set if the sub-queue's queue defers now.
	defers bool
}

// excludes reports whether the search leaves the worker alone: it is reserved for a task
// that goes first.
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

// planNext plans what is first in the queue. It returns false once the pass is over.
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

// planAroundReservations places the first task of the sub-queue, or its gang, off the
// workers that are reserved for what goes before it. What finds capacity there only is looked
// at again in the next pass. It returns false once the pass is over.
func (p *pass) planAroundReservations(sub *subQueue, defers bool) bool {
	classes := sub.searchedClasses()
	setBackfillSearch(classes, &backfillSearch{subQueue: sub, defers: defers})
	defer setBackfillSearch(classes, nil)
	if sub.class == nil {
		return p.planGangAroundReservations(sub)
	}
	if sub.class.unschedulable || p.hasFitOrNone(sub) {
		return p.planSubQueue(sub)
	}
	sub.deactivate()
	p.engine.backfill.block(sub)
	return true
}

// planGangAroundReservations is planAroundReservations for a gang. One that fits, as far
// as the number of fits tells, may lack only workers that are reserved.
func (p *pass) planGangAroundReservations(sub *subQueue) bool {
	goesOn := p.placeGang(sub)
	if len(sub.awaitedClasses) == 0 {
		return goesOn
	}
	if short, _ := sub.findShortage(); short == nil {
		p.engine.backfill.block(sub)
	}
	return goesOn
}

// hasFitOrNone reports whether the first task of the sub-queue fits off the reserved
// workers, or on none at all.
func (p *pass) hasFitOrNone(sub *subQueue) bool {
	if _, found := p.engine.finder.findTarget(sub.tasks[0]); found {
		return true
	}
	search := sub.class.backfill
	sub.class.backfill = nil
	defer func() { sub.class.backfill = search }()
	_, found := p.engine.finder.findTarget(sub.tasks[0])
	return !found
}

// searchedClasses returns the classes for which a target is searched.
func (sub *subQueue) searchedClasses() []*equivalenceClass {
	if sub.class == nil {
		return sub.classes()
	}
	return []*equivalenceClass{sub.class}
}

// setBackfillSearch has searches for classes leave reserved workers alone.
func setBackfillSearch(classes []*equivalenceClass, s *backfillSearch) {
	for _, c := range classes {
		c.backfill = s
	}
}
