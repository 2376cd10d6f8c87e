package placement

import (
	"math"
	"slices"
)

// gangState is what a lane keeps if it holds the members of a group.
type gangState struct {
	// size is the number of members that must wait together.
	size int
	// members counts the members by class, in the order that classes came.
	members []memberCount
	// awaitedClasses are the classes that must find room before another trial.
	awaitedClasses []*equivalenceClass
	// awaitedTeam is the team whose limit holds the group back.
	awaitedTeam *team
	// freeMembers is how many members had a place at the last trial; tried tells
	// whether there was one.
	freeMembers int
	tried       bool
	// unschedulableSince is the pass in which it first found no room.
	unschedulableSince uint64
}

// memberCount is how many members of a group are of one class.
type memberCount struct {
	class *equivalenceClass
	count int
}

// complete reports whether all members wait; a class lane always is.
func (l *subQueue) complete() bool { return l.class != nil || len(l.tasks) >= l.size }

// countMember adds to the number of members of a class, if this is a group.
func (l *subQueue) countMember(c *equivalenceClass, change int) {
	if l.class != nil {
		return
	}
	at := slices.IndexFunc(l.members, func(m memberCount) bool { return m.class == c })
	if at < 0 {
		l.members = append(l.members, memberCount{class: c, count: change})
		return
	}
	l.members[at].count += change
	if l.members[at].count == 0 {
		l.members = slices.Delete(l.members, at, at+1)
	}
}

// reconsider lets the next pass look at a group whose members changed.
func (l *subQueue) reconsider() {
	l.deactivate()
	l.tried = false
	l.activate()
}

// awaitClasses keeps a group out of passes until a place more came for one of the
// classes.
func (l *subQueue) awaitClasses(classes ...*equivalenceClass) {
	l.deactivate()
	for _, c := range classes {
		// Members of several classes compete for room, also where the spread
		// rule alone leaves one of them nothing.
		c.lastFitCount.full = nil
		l.awaitFreedFits(c, 1)
	}
	l.awaitedClasses = classes
}

// awaitShortage keeps a group out of passes until as many places came as the
// class was short of.
func (l *subQueue) awaitShortage(c *equivalenceClass, missing int) {
	l.deactivate()
	l.awaitFreedFits(c, missing)
	l.awaitedClasses = []*equivalenceClass{c}
}

func (l *subQueue) awaitFreedFits(c *equivalenceClass, places int) {
	c.awaitingGangs[l] = c.freedFits + uint64(places)
	c.activateAt = min(c.activateAt, c.awaitingGangs[l])
	c.pool.unschedulable[c] = struct{}{}
}

// activateGangs makes the groups ready for which enough places may have come.
func (c *equivalenceClass) activateGangs() {
	if c.freedFits < c.activateAt {
		return
	}
	c.activateAt = math.MaxUint64
	for l, at := range c.awaitingGangs {
		if at <= c.freedFits {
			l.activate()
			continue
		}
		c.activateAt = min(c.activateAt, at)
	}
}

// awaitLimit keeps a group out of passes until the queue or its team may run
// more.
func (l *subQueue) awaitLimit(size int) {
	l.deactivate()
	q := l.parent.queue
	if !withinQueueLimit(q, size) {
		q.awaitingGangs[l] = struct{}{}
		return
	}
	q.team.awaitingGangs[l] = struct{}{}
	l.awaitedTeam = q.team
}

// stopAwaiting forgets what the group was parked at. Class lanes are never parked.
func (l *subQueue) stopAwaiting() {
	for _, c := range l.awaitedClasses {
		delete(c.awaitingGangs, l)
		c.leaveUnschedulable()
	}
	l.awaitedClasses = nil
	delete(l.parent.queue.awaitingGangs, l)
	if l.awaitedTeam != nil {
		delete(l.awaitedTeam.awaitingGangs, l)
		l.awaitedTeam = nil
	}
}

// placeGang places all members of the group or none. It returns false if the
// group fits but not in what is left of the pass's limit: the pass then ends,
// and the next one starts with this group.
func (p *pass) placeGang(l *subQueue) bool {
	if !l.parent.queue.canRun(len(l.tasks)) {
		l.awaitLimit(len(l.tasks))
		return true
	}
	l.mayPreemptNow = false
	if p.engine.gangDrains.isFor(l) {
		l.deactivate()
		return true
	}
	l.tried = true
	members := p.engine.finder.placementOrder(l.tasks)
	found := p.openAll(l, members)
	if found.opened == nil {
		p.engine.gangDrains.retry(l, func() bool {
			found = p.openAll(l, members)
			return found.opened != nil
		})
	}
	if found.opened == nil {
		l.awaitFits(found)
		l.recordUnschedulableSince(p.engine.clock.pass)
		return p.preemptForGang(l)
	}
	opened := found.opened
	if len(p.decisions) > 0 && len(p.decisions)+len(members) > p.limit {
		p.rollBack(opened)
		return false
	}
	l.deactivate()
	for i, member := range members {
		p.recordDecision(member, opened[i])
	}
	return true
}

// gangPlacement is what a trial to place a group found: a run for each member, or the
// class that is short of places, if that alone tells.
type gangPlacement struct {
	opened  []*run
	short   *equivalenceClass
	missing int
}

// openAll opens runs for all members of the group or for none.
func (p *pass) openAll(l *subQueue, members []*waiting) gangPlacement {
	if short, missing := l.findShortage(); short != nil {
		return gangPlacement{short: short, missing: missing}
	}
	opened := p.tryAll(members)
	if len(opened) < len(members) {
		l.freeMembers = len(opened)
		p.rollBack(opened)
		return gangPlacement{}
	}
	return gangPlacement{opened: opened}
}

// awaitFits keeps a group that found no room out of passes until it may find some.
func (l *subQueue) awaitFits(found gangPlacement) {
	if found.short != nil {
		l.awaitShortage(found.short, found.missing)
		return
	}
	l.awaitClasses(l.classes()...)
}

func (l *subQueue) recordUnschedulableSince(pass uint64) {
	if l.unschedulableSince == 0 {
		l.unschedulableSince = pass
	}
}

// tryAll opens runs for members until one finds no worker.
func (p *pass) tryAll(members []*waiting) []*run {
	opened := make([]*run, 0, len(members))
	for _, member := range members {
		to, found := p.engine.finder.findTarget(member)
		if !found {
			break
		}
		opened = append(opened, p.engine.runs.start(&member.Task, to))
	}
	return opened
}

func (p *pass) rollBack(opened []*run) {
	for _, r := range opened {
		p.engine.runs.close(r)
	}
}

// classes returns the classes of the group's members.
func (l *subQueue) classes() []*equivalenceClass {
	classes := make([]*equivalenceClass, 0, len(l.members))
	for _, m := range l.members {
		classes = append(classes, m.class)
	}
	return classes
}
