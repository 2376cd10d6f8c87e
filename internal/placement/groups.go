package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/indexheap"
)

// groupState is what a lane keeps if it holds the members of a group.
type groupState struct {
	// size is the number of members that must wait together.
	size int
	// members counts the members by class, in the order that classes came.
	members []memberCount
	// parkedAt are the classes that must find room before another trial.
	parkedAt []*class
	// parkedAtTeam is the team whose limit holds the group back.
	parkedAtTeam *team
	// free is how many members had a place at the last trial; tried tells
	// whether there was one.
	free  int
	tried bool
	// waitsSince is the pass in which it first found no room.
	waitsSince uint64
}

// memberCount is how many members of a group are of one class.
type memberCount struct {
	class *class
	count int
}

// placesCount is how many tasks of a class had room, counted up to enough.
type placesCount struct {
	pass           uint64
	enough, places int
	// full are the domains that the spread rule closed, if it was counted to
	// the end: room freed there makes no place. It holds for one version of
	// workers.
	full    map[string]bool
	version uint64
}

// joinGroup returns the lane of the task's group and makes it if there is none.
func (e *Engine) joinGroup(task *Task) *lane {
	l, ok := e.groups[task.Group]
	if !ok {
		l = &lane{line: e.line(task), group: task.Group, position: indexheap.None}
		l.line.groups++
		e.groups[task.Group] = l
	}
	l.size = task.GroupSize
	return l
}

// complete reports whether all members wait; a class lane always is.
func (l *lane) complete() bool { return l.class != nil || len(l.tasks) >= l.size }

// countMember adds to the number of members of a class, if this is a group.
func (l *lane) countMember(c *class, change int) {
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
func (l *lane) reconsider() {
	l.makeUnready()
	l.tried = false
	l.makeReady()
}

// parkAt keeps a group out of passes until a place more came for one of the
// classes.
func (l *lane) parkAt(classes ...*class) {
	l.makeUnready()
	for _, c := range classes {
		// Members of several classes compete for room, also where the spread
		// rule alone leaves one of them nothing.
		c.counted.full = nil
		l.parkUntil(c, 1)
	}
	l.parkedAt = classes
}

// parkAtShortage keeps a group out of passes until as many places came as the
// class was short of.
func (l *lane) parkAtShortage(c *class, missing int) {
	l.makeUnready()
	l.parkUntil(c, missing)
	l.parkedAt = []*class{c}
}

func (l *lane) parkUntil(c *class, places int) {
	c.groups[l] = c.freed + uint64(places)
	c.wakeAt = min(c.wakeAt, c.groups[l])
	c.pool.blocked[c] = struct{}{}
}

// wakeGroups makes the groups ready for which enough places may have come.
func (c *class) wakeGroups() {
	if c.freed < c.wakeAt {
		return
	}
	c.wakeAt = math.MaxUint64
	for l, at := range c.groups {
		if at <= c.freed {
			l.makeReady()
			continue
		}
		c.wakeAt = min(c.wakeAt, at)
	}
}

// placesFreed is the most places that a changed worker can add to the last
// count.
func (c *class) placesFreed(w *worker) uint64 {
	if c.spread != nil && c.counted.full != nil && c.counted.version == c.pool.version {
		if domain, ok := domainOf(&w.Worker, c.spread.by); !ok || c.counted.full[domain] {
			return 0
		}
	}
	return uint64(placesOn(c.key.need, c.roomOnceTaken(w), math.MaxInt32) + c.openSlots(w.slices))
}

// parkAtLimit keeps a group out of passes until the queue or its team may run
// more.
func (l *lane) parkAtLimit(size int) {
	l.makeUnready()
	q := l.line.queue
	if !withinQueueLimit(q, size) {
		q.groups[l] = struct{}{}
		return
	}
	q.team.groups[l] = struct{}{}
	l.parkedAtTeam = q.team
}

// unpark forgets what the group was parked at. Class lanes are never parked.
func (l *lane) unpark() {
	for _, c := range l.parkedAt {
		delete(c.groups, l)
		c.leaveBlocked()
	}
	l.parkedAt = nil
	delete(l.line.queue.groups, l)
	if l.parkedAtTeam != nil {
		delete(l.parkedAtTeam.groups, l)
		l.parkedAtTeam = nil
	}
}

// placeGroup places all members of the group or none. It returns false if the
// group fits but not in what is left of the pass's limit: the pass then ends,
// and the next one starts with this group.
func (p *pass) placeGroup(l *lane) bool {
	if !l.line.queue.mayRun(len(l.tasks)) {
		l.parkAtLimit(len(l.tasks))
		return true
	}
	l.preemptNow = false
	if p.engine.isGathering(l) {
		l.makeUnready()
		return true
	}
	l.tried = true
	members := p.engine.trialOrder(l.tasks)
	found := p.openAll(l, members)
	if found.opened == nil {
		p.engine.overGathered(l, func() bool {
			found = p.openAll(l, members)
			return found.opened != nil
		})
	}
	if found.opened == nil {
		l.park(found)
		l.waitFrom(p.engine.passes)
		return p.preemptForGroup(l)
	}
	opened := found.opened
	if len(p.decisions) > 0 && len(p.decisions)+len(members) > p.limit {
		p.rollBack(opened)
		return false
	}
	l.makeUnready()
	for i, member := range members {
		p.decide(member, opened[i])
	}
	return true
}

// groupSeats is what a trial to place a group found: a run for each member, or the
// class that is short of places, if that alone tells.
type groupSeats struct {
	opened  []*run
	short   *class
	missing int
}

// openAll opens runs for all members of the group or for none.
func (p *pass) openAll(l *lane, members []*waiting) groupSeats {
	if short, missing := p.engine.findShortage(l); short != nil {
		return groupSeats{short: short, missing: missing}
	}
	opened := p.tryAll(members)
	if len(opened) < len(members) {
		l.free = len(opened)
		p.rollBack(opened)
		return groupSeats{}
	}
	return groupSeats{opened: opened}
}

// park keeps a group that found no room out of passes until it may find some.
func (l *lane) park(found groupSeats) {
	if found.short != nil {
		l.parkAtShortage(found.short, found.missing)
		return
	}
	l.parkAt(l.classes()...)
}

func (l *lane) waitFrom(pass uint64) {
	if l.waitsSince == 0 {
		l.waitsSince = pass
	}
}

// trialOrder puts members that need most room first: the small ones find room
// in what these leave.
func (e *Engine) trialOrder(tasks []*waiting) []*waiting {
	members := slices.Clone(tasks)
	slices.SortFunc(members, func(a, b *waiting) int {
		if byNeed := cmp.Compare(e.roomOf(b.class), e.roomOf(a.class)); byNeed != 0 {
			return byNeed
		}
		return compareWaiting(a, b)
	})
	return members
}

// tryAll opens runs for members until one finds no worker.
func (p *pass) tryAll(members []*waiting) []*run {
	opened := make([]*run, 0, len(members))
	for _, member := range members {
		to, found := p.engine.seatFor(member)
		if !found {
			break
		}
		opened = append(opened, p.engine.open(&member.Task, to))
	}
	return opened
}

func (p *pass) rollBack(opened []*run) {
	for _, r := range opened {
		p.engine.close(r)
	}
}

// classes returns the classes of the group's members.
func (l *lane) classes() []*class {
	classes := make([]*class, 0, len(l.members))
	for _, m := range l.members {
		classes = append(classes, m.class)
	}
	return classes
}

// findShortage returns a class that has fewer places than the group has
// members of it, and how many are missing, or nil. Classes are counted one by
// one, so nil does not promise that all fit together.
func (e *Engine) findShortage(l *lane) (short *class, missing int) {
	l.free = 0
	for _, m := range l.members {
		places := e.places(m.class, m.count)
		l.free += places
		if places < m.count && short == nil {
			short, missing = m.class, m.count-places
		}
	}
	return short, missing
}

// places is class.places, counted once a pass where it fell short: room only
// shrinks during a pass, so that many groups of one class cost one count.
func (e *Engine) places(c *class, enough int) int {
	last := &c.counted
	if last.pass == e.passes && last.places < last.enough {
		return min(last.places, enough)
	}
	c.counted = placesCount{pass: e.passes, enough: enough, version: c.pool.version}
	c.counted.places = c.places(enough)
	return c.counted.places
}

// places counts how many tasks of the class fit now, up to enough. Slices
// count whole: with a spread rule there may be fewer.
func (c *class) places(enough int) int {
	left := map[string]int{}
	total := 0
	for _, r := range c.bookings {
		total += min(c.openSlots(r.sets), enough-total)
	}
	for _, w := range c.pool.workers {
		if total >= enough {
			return enough
		}
		here := min(placesOn(c.key.need, c.roomOn(w), enough-total), c.mostOn(w))
		if c.spread != nil && here > 0 {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		total += here
	}
	if c.spread != nil {
		c.counted.full = fullDomains(left)
	}
	return total
}

// fullDomains returns the domains of which nothing is left.
func fullDomains(left map[string]int) map[string]bool {
	full := map[string]bool{}
	for domain, runs := range left {
		if runs == 0 {
			full[domain] = true
		}
	}
	return full
}

// takeFromDomain returns how many of the wanted runs the worker's domain still
// takes, and counts them in left.
func takeFromDomain(left map[string]int, rule *spreadRule, worker *Worker, wanted int) int {
	domain, ok := domainOf(worker, rule.by)
	if !ok {
		return 0
	}
	if _, seen := left[domain]; !seen {
		left[domain] = max(rule.remaining(worker), 0)
	}
	taken := min(wanted, left[domain])
	left[domain] -= taken
	return taken
}

// placesOn counts how often need fits in free, up to enough.
func placesOn(need, free api.Resources, enough int) int {
	if !fits(need, free) {
		return 0
	}
	times := min(
		timesIn(need.CPUMillis, free.CPUMillis),
		timesIn(need.MemoryMB, free.MemoryMB),
		timesIn(need.Accelerators, free.Accelerators),
	)
	return int(min(times, int64(enough)))
}

func timesIn(need, free int64) int64 {
	if need <= 0 {
		return math.MaxInt64
	}
	return free / need
}
