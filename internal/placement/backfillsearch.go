package placement

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
	case s.defers && s.subQueue.parent.queue.defersTo[w.backfillFor.parent.queue]:
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
// workers that are reserved for what goes before it. What finds room there only is looked
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
