package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/internal/indexheap"
)

// Room kept while a queue yields. Pieces of room that come free one by one go to
// small tasks, and a large task waits for as long as there are such. A burst that
// yields has small tasks without end, so that large tasks of the other queues would
// wait until it is over, although they go first. So, for each shape of task that found
// no room, what goes after it leaves alone the worker that is closest to having it.

const (
	// keptShare: one worker in so many is kept at most.
	keptShare = 2
	// mostKept bounds the workers kept in one pass: each costs a look at all workers.
	mostKept = 16
)

// keep works out, once a pass, for which lanes that found no room before workers are
// kept.
func (r *rivals) keep(e *Engine) {
	if r.looked {
		return
	}
	r.looked = true
	r.findPreferred()
	var without []*lane
	for _, l := range r.lines {
		if r.preferred[l.queue] {
			without = l.appendWithoutRoom(without)
		}
	}
	slices.SortFunc(without, func(a, b *lane) int { return compareWaiting(a.tasks[0], b.tasks[0]) })
	for _, l := range without {
		r.keepFor(e, l)
	}
}

// findPreferred notes the queues to which another yields now, of those that do not yield
// themselves.
func (r *rivals) findPreferred() {
	r.preferred = map[*queue]bool{}
	for _, l := range r.lines {
		if !r.yields(l.queue) {
			continue
		}
		for q := range l.queue.yieldsTo {
			r.preferred[q] = !r.yields(q) && q.mayRun(1)
		}
	}
}

// appendWithoutRoom adds the line's lanes that found no room.
func (l *line) appendWithoutRoom(lanes []*lane) []*lane {
	for c, waits := range l.lanes {
		if c.blocked {
			lanes = append(lanes, waits)
		}
	}
	return lanes
}

// keepFor keeps a worker for a lane, unless so many are kept already or most
// processors of its service are free: then nothing shall wait beside room.
func (r *rivals) keepFor(e *Engine, l *lane) {
	if len(r.kept) >= min(len(e.workers.byID)/keptShare, mostKept) || !l.class.isBusy() {
		return
	}
	if on := l.class.closest(e); on != nil {
		on.keptFor = l
		r.kept = append(r.kept, on)
	}
}

// lookedAt takes over what became of a lane: one that was placed needs no worker any
// more, one that found no room gets one.
func (r *rivals) lookedAt(e *Engine, l *lane) {
	at := slices.IndexFunc(r.kept, func(w *worker) bool { return w.keptFor == l })
	placed := len(l.tasks) == 0
	switch {
	case at >= 0 && placed:
		r.kept[at].keptFor = nil
		r.kept = slices.Delete(r.kept, at, at+1)
	case at < 0 && !placed && l.position == indexheap.None && l.class != nil && r.preferred[l.line.queue]:
		r.keepFor(e, l)
	}
}

// release ends the keeping.
func (r *rivals) release() {
	for _, w := range r.kept {
		w.keptFor = nil
	}
}

// closest returns the worker that lacks least of the room that the class needs, of
// those that will have it once the runs that have an end are over; nil if none.
func (c *class) closest(e *Engine) *worker {
	var best *worker
	least := 0.0
	for _, w := range c.pool.workers {
		if w.keptFor != nil || w.guarded || !withinSpread(c.spread, &w.Worker) ||
			!fits(c.key.need, w.Capacity.Sub(w.endless)) || !c.leavesSlices(w) {
			continue
		}
		lacks := roomOf(lacking(c.key.need, c.roomOn(w)), e.workers.largest)
		if best == nil || cmp.Or(cmp.Compare(lacks, least), compareName(w, best)) < 0 {
			best, least = w, lacks
		}
	}
	return best
}

// isBusy reports whether the class's service is short of processors.
func (c *class) isBusy() bool { return c.crowding.busy(c.key.selector.service) }

// search is the one for a lane's first task, or for its group, while workers are
// kept.
type search struct {
	lane *lane
	// yields is set if the lane's queue yields now.
	yields bool
}

// leaves reports whether the search leaves the worker alone: it is kept for a task
// that goes first.
func (s *search) leaves(w *worker) bool {
	switch {
	case s == nil, w.keptFor == nil, w.keptFor == s.lane:
		return false
	case s.yields && s.lane.line.queue.yieldsTo[w.keptFor.line.queue]:
		return true
	default:
		return compareWaiting(w.keptFor.tasks[0], s.lane.tasks[0]) < 0
	}
}

// planNext looks at what is first in the line. It returns false once the pass is over.
func (p *pass) planNext(l *line, r *rivals) bool {
	first := l.ready[0]
	if len(r.lines) == 0 {
		return p.planLane(first)
	}
	r.keep(p.engine)
	defer r.lookedAt(p.engine, first)
	if len(r.kept) == 0 {
		return p.planLane(first)
	}
	return p.planBeside(first, r.yields(l.queue))
}

// planBeside places the lane's first task, or its group, off the workers that are kept
// for what goes before it. What finds room there only is looked at again in the next
// pass. It returns false once the pass is over.
func (p *pass) planBeside(l *lane, yields bool) bool {
	classes := l.searched()
	setSearch(classes, &search{lane: l, yields: yields})
	defer setSearch(classes, nil)
	if l.class == nil {
		return p.groupBeside(l)
	}
	if l.class.blocked || p.findsOrLacks(l) {
		return p.planLane(l)
	}
	l.makeUnready()
	p.engine.setAside = append(p.engine.setAside, l)
	return true
}

// groupBeside is planBeside for a group. One that has places enough, by their number,
// may lack only those that are kept.
func (p *pass) groupBeside(l *lane) bool {
	goesOn := p.placeGroup(l)
	if len(l.parkedAt) == 0 {
		return goesOn
	}
	if short, _ := p.engine.findShortage(l); short == nil {
		p.engine.setAside = append(p.engine.setAside, l)
	}
	return goesOn
}

// findsOrLacks reports whether the lane's first task has room off the kept workers,
// or has none at all.
func (p *pass) findsOrLacks(l *lane) bool {
	if _, found := p.engine.seatFor(l.tasks[0]); found {
		return true
	}
	held := l.class.search
	l.class.search = nil
	defer func() { l.class.search = held }()
	_, found := p.engine.seatFor(l.tasks[0])
	return !found
}

// searched returns the classes for which room is looked for.
func (l *lane) searched() []*class {
	if l.class == nil {
		return l.classes()
	}
	return []*class{l.class}
}

// setSearch has searches for classes leave workers alone.
func setSearch(classes []*class, s *search) {
	for _, c := range classes {
		c.search = s
	}
}

// takeUpSetAside lets the pass look at the lanes that the last one set aside.
func (e *Engine) takeUpSetAside() {
	for _, l := range e.setAside {
		if len(l.tasks) > 0 {
			l.makeReady()
		}
	}
	e.setAside = nil
}
