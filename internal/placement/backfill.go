package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/indexheap"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// Room kept while a queue yields. Pieces of room that come free one by one go to
// small tasks, and a large task waits for as long as there are such. A burst that
// yields has small tasks without end, so that large tasks of the other queues would
// wait until it is over, although they go first. So, for each shape of task that found
// no room, what goes after it leaves alone the worker that is expected to have it first,
// until it is placed.

const (
	// backfillWorkerDivisor: one worker in so many is kept at most.
	backfillWorkerDivisor = 2
	// maxBackfillReservations bounds the workers kept in one pass: each costs a look at all workers.
	maxBackfillReservations = 16
	// maxBackfillCandidates bounds the workers whose runs are looked at for one lane.
	maxBackfillCandidates = 32
)

// keep works out, once a pass, for which lanes that found no room before workers are
// kept.
func (r *competingQueues) reserveWorkers(e *Engine) {
	if r.reservationsMade || e.off.Has(featuregate.BackfillReservation) {
		return
	}
	r.reservationsMade = true
	r.findDeferredTo()
	var without []*subQueue
	for _, l := range r.queues {
		if r.deferredTo[l.queue] {
			without = l.appendUnschedulable(without)
		}
	}
	slices.SortFunc(without, func(a, b *subQueue) int { return compareWaiting(a.tasks[0], b.tasks[0]) })
	for _, l := range without {
		if !r.hasReservedWorker(l) {
			r.reserveFor(e, l)
		}
	}
}

// hasReservedWorker reports whether a worker is kept for a lane.
func (r *competingQueues) hasReservedWorker(l *subQueue) bool {
	return slices.ContainsFunc(r.backfillReserved, func(w *worker) bool { return w.backfillFor == l })
}

// findDeferredTo notes the queues to which another yields now, of those that do not yield
// themselves.
func (r *competingQueues) findDeferredTo() {
	r.deferredTo = map[*queue]bool{}
	for _, l := range r.queues {
		if !r.defers(l.queue) {
			continue
		}
		for q := range l.queue.defersTo {
			r.deferredTo[q] = !r.defers(q) && q.canRun(1)
		}
	}
}

// appendUnschedulable adds the line's lanes that found no room.
func (l *priorityQueue) appendUnschedulable(subQueues []*subQueue) []*subQueue {
	for c, waits := range l.subQueues {
		if c.unschedulable {
			subQueues = append(subQueues, waits)
		}
	}
	return subQueues
}

// reserveFor keeps a worker for a lane, unless so many are kept already or most
// processors of its service are free: then nothing shall wait beside room.
func (r *competingQueues) reserveFor(e *Engine, l *subQueue) {
	if len(r.backfillReserved) >= min(len(e.workers.byID)/backfillWorkerDivisor, maxBackfillReservations) || !l.class.isProcessorBound() {
		return
	}
	if on := l.class.earliestBackfillWorker(e); on != nil {
		on.backfillFor = l
		r.backfillReserved = append(r.backfillReserved, on)
	}
}

// updateReservation takes over what became of a lane: one that was placed needs no worker any
// more, one that found no room gets one.
func (r *competingQueues) updateReservation(e *Engine, l *subQueue) {
	at := slices.IndexFunc(r.backfillReserved, func(w *worker) bool { return w.backfillFor == l })
	placed := len(l.tasks) == 0
	switch {
	case at >= 0 && placed:
		r.backfillReserved[at].backfillFor = nil
		r.backfillReserved = slices.Delete(r.backfillReserved, at, at+1)
	case at < 0 && !placed && l.position == indexheap.None && l.class != nil && r.deferredTo[l.parent.queue]:
		r.reserveFor(e, l)
	}
}

// dropStaleBackfillReservations ends the keeping for lanes that no longer wait for room, and of workers
// that will not have it.
func (e *Engine) dropStaleBackfillReservations() {
	e.backfillReserved = slices.DeleteFunc(e.backfillReserved, func(w *worker) bool {
		l := w.backfillFor
		if l.class.unschedulable && len(l.tasks) > 0 && l.class.isProcessorBound() && l.class.pool.matches(w) && l.class.fitsOnceRunsEnd(w) {
			return false
		}
		w.backfillFor = nil
		return true
	})
}

// takeBackfillReservations takes over the workers that are kept for lanes of a level. Which of them is
// for which lane is settled anew, since what went before may have taken room there: the
// lane that goes first gets the one that will have its room first.
func (e *Engine) takeBackfillReservations(lv *priorityLevel) []*worker {
	var reserved []*worker
	var subQueues []*subQueue
	for _, w := range e.backfillReserved {
		if w.backfillFor.parent.level == lv {
			subQueues = append(subQueues, w.backfillFor)
			w.backfillFor = nil
		}
	}
	slices.SortFunc(subQueues, func(a, b *subQueue) int { return compareWaiting(a.tasks[0], b.tasks[0]) })
	for _, l := range subQueues {
		if on := l.class.earliestBackfillWorker(e); on != nil {
			on.backfillFor = l
			reserved = append(reserved, on)
		}
	}
	return reserved
}

// release hands the workers that are still kept to the next pass: room that comes free
// there piece by piece must not go to others before it is enough.
func (r *competingQueues) release(e *Engine, lv *priorityLevel) {
	e.backfillReserved = slices.DeleteFunc(e.backfillReserved, func(w *worker) bool { return w.backfillFor == nil || w.backfillFor.parent.level == lv })
	e.backfillReserved = append(e.backfillReserved, r.backfillReserved...)
}

// earliestBackfillWorker returns the worker that will have the room that the class needs first, by
// what its runs are expected to take, of the candidates that lack least of it now; nil
// if none will.
func (c *equivalenceClass) earliestBackfillWorker(e *Engine) *worker {
	var best *worker
	var least record.Millis
	for _, candidate := range c.backfillCandidates(e) {
		w := candidate.worker
		at := w.shadowTime(c.key.need, e.clock.now)
		if best == nil || cmp.Or(cmp.Compare(at, least), compareName(w, best)) < 0 {
			best, least = w, at
		}
	}
	return best
}

// backfillCandidate is a worker that may be kept for a class, and how much room it lacks.
type backfillCandidate struct {
	worker *worker
	lacks  float64
}

// backfillCandidates returns the workers of the class's pool that lack least of the room that
// it needs, of those that will have it once the runs that have an end are over and that
// are not kept yet.
func (c *equivalenceClass) backfillCandidates(e *Engine) []backfillCandidate {
	least := make([]backfillCandidate, 0, maxBackfillCandidates+1)
	for _, w := range c.pool.workers {
		if w.backfillFor != nil || !c.fitsOnceRunsEnd(w) {
			continue
		}
		one := backfillCandidate{worker: w, lacks: resources.NormalizedSize(resources.Lacking(c.key.need, c.availableOn(w)), e.workers.largest)}
		if len(least) == maxBackfillCandidates && one.lacks >= least[maxBackfillCandidates-1].lacks {
			continue
		}
		at, _ := slices.BinarySearchFunc(least, one, func(a, b backfillCandidate) int {
			return cmp.Or(cmp.Compare(a.lacks, b.lacks), -1)
		})
		least = slices.Insert(least, at, one)
		least = least[:min(len(least), maxBackfillCandidates)]
	}
	return least
}

// shadowTime is when the worker will have some room, if all its runs end as expected
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

// fitsOnceRunsEnd reports whether the worker will have room for the class once the runs
// that have an end are over.
func (c *equivalenceClass) fitsOnceRunsEnd(w *worker) bool {
	return !w.restricted && withinSpread(c.spread, &w.Worker) &&
		fits(c.key.need, w.Capacity.Sub(w.longRunning)) && c.fitsBesideReservedSlots(w)
}

// isProcessorBound reports whether the class's service is short of processors.
func (c *equivalenceClass) isProcessorBound() bool {
	return c.utilization.IsProcessorBound(c.key.selector.service)
}

// search is the one for a lane's first task, or for its group, while workers are
// kept.
type backfillSearch struct {
	subQueue *subQueue
	// defers is set if the lane's queue yields now.
	defers bool
}

// excludes reports whether the search leaves the worker alone: it is kept for a task
// that goes first.
func (s *backfillSearch) excludes(w *worker) bool {
	switch {
	case s == nil, w.backfillFor == nil, w.backfillFor == s.subQueue, w.backfillFor.parent.level != s.subQueue.parent.level:
		return false
	case s.defers && s.subQueue.parent.queue.defersTo[w.backfillFor.parent.queue]:
		return true
	default:
		return compareWaiting(w.backfillFor.tasks[0], s.subQueue.tasks[0]) < 0
	}
}

// planNext looks at what is first in the line. It returns false once the pass is over.
func (p *pass) planNext(l *priorityQueue, r *competingQueues) bool {
	first := l.active[0]
	if len(r.queues) == 0 {
		return p.planSubQueue(first)
	}
	r.reserveWorkers(p.engine)
	defer r.updateReservation(p.engine, first)
	if len(r.backfillReserved) == 0 {
		return p.planSubQueue(first)
	}
	return p.planAroundReservations(first, r.defers(l.queue))
}

// planAroundReservations places the lane's first task, or its group, off the workers that are kept
// for what goes before it. What finds room there only is looked at again in the next
// pass. It returns false once the pass is over.
func (p *pass) planAroundReservations(l *subQueue, deferences bool) bool {
	classes := l.searchedClasses()
	setBackfillSearch(classes, &backfillSearch{subQueue: l, defers: deferences})
	defer setBackfillSearch(classes, nil)
	if l.class == nil {
		return p.planGangAroundReservations(l)
	}
	if l.class.unschedulable || p.hasFitOrNone(l) {
		return p.planSubQueue(l)
	}
	l.deactivate()
	p.engine.backfillBlocked = append(p.engine.backfillBlocked, l)
	return true
}

// planGangAroundReservations is planAroundReservations for a group. One that has places enough, by their number,
// may lack only those that are kept.
func (p *pass) planGangAroundReservations(l *subQueue) bool {
	goesOn := p.placeGang(l)
	if len(l.awaitedClasses) == 0 {
		return goesOn
	}
	if short, _ := l.findShortage(); short == nil {
		p.engine.backfillBlocked = append(p.engine.backfillBlocked, l)
	}
	return goesOn
}

// hasFitOrNone reports whether the lane's first task has room off the kept workers,
// or has none at all.
func (p *pass) hasFitOrNone(l *subQueue) bool {
	if _, found := p.engine.finder.findTarget(l.tasks[0]); found {
		return true
	}
	held := l.class.backfill
	l.class.backfill = nil
	defer func() { l.class.backfill = held }()
	_, found := p.engine.finder.findTarget(l.tasks[0])
	return !found
}

// searchedClasses returns the classes for which room is looked for.
func (l *subQueue) searchedClasses() []*equivalenceClass {
	if l.class == nil {
		return l.classes()
	}
	return []*equivalenceClass{l.class}
}

// setBackfillSearch has searches for classes leave workers alone.
func setBackfillSearch(classes []*equivalenceClass, s *backfillSearch) {
	for _, c := range classes {
		c.backfill = s
	}
}

// activateBackfillBlocked lets the pass look at the lanes that the last one set aside.
func (e *Engine) activateBackfillBlocked() {
	for _, l := range e.backfillBlocked {
		if len(l.tasks) > 0 {
			l.activate()
		}
	}
	e.backfillBlocked = nil
}
