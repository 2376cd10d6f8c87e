package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/decklever/decklever/api"
)

// groupState is what a lane keeps if it holds the members of a group.
type groupState struct {
	// size is the number of members that must wait together.
	size int
	// members counts the members by class, in the order that classes came.
	members []memberCount
	// parkedAt are the classes that must find room before another trial.
	parkedAt []*class
	// free is how many members had a place at the last trial; tried tells
	// whether there was one.
	free  int
	tried bool
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
}

// joinGroup returns the lane of the task's group and makes it if there is none.
func (e *Engine) joinGroup(task *Task) *lane {
	l, ok := e.groups[task.Group]
	if !ok {
		l = &lane{line: e.line(task), group: task.Group, position: notReady}
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

// parkAt keeps a group out of passes until one of the classes may find room.
func (l *lane) parkAt(classes ...*class) {
	l.makeUnready()
	for _, c := range classes {
		c.groups[l] = struct{}{}
		c.pool.blocked[c] = struct{}{}
	}
	l.parkedAt = classes
}

// parkAtQueue keeps a group out of passes until the queue may run more.
func (l *lane) parkAtQueue() {
	l.makeUnready()
	l.line.queue.groups[l] = struct{}{}
}

// unpark forgets what the group was parked at. Class lanes are never parked.
func (l *lane) unpark() {
	for _, c := range l.parkedAt {
		delete(c.groups, l)
		if !c.blocked && len(c.groups) == 0 {
			delete(c.pool.blocked, c)
		}
	}
	l.parkedAt = nil
	delete(l.line.queue.groups, l)
}

// placeGroup places all members of the group or none. It returns false if the
// group fits but not in what is left of the pass's limit: the pass then ends,
// and the next one starts with this group.
func (p *pass) placeGroup(l *lane) bool {
	if !withinQueueLimit(l.line.queue, len(l.tasks)) {
		l.parkAtQueue()
		return true
	}
	l.tried = true
	if short := p.engine.findShortage(l); short != nil {
		l.parkAt(short)
		return true
	}
	members := p.engine.trialOrder(l.tasks)
	opened := p.tryAll(members)
	if len(opened) < len(members) {
		l.free = len(opened)
		p.rollBack(opened)
		l.parkAt(l.classes()...)
		return true
	}
	if len(p.decisions) > 0 && len(p.decisions)+len(members) > p.limit {
		p.rollBack(opened)
		return false
	}
	l.makeUnready()
	for i, member := range members {
		p.decide(member, opened[i].worker)
	}
	return true
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
		w := p.engine.fullest(member.class)
		if w == nil {
			break
		}
		opened = append(opened, p.engine.open(&member.Task, w))
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
// members of it, or nil. Classes are counted one by one, so nil does not
// promise that all fit together.
func (e *Engine) findShortage(l *lane) *class {
	var short *class
	l.free = 0
	for _, m := range l.members {
		places := e.places(m.class, m.count)
		l.free += places
		if places < m.count && short == nil {
			short = m.class
		}
	}
	return short
}

// places is class.places, counted once a pass where it fell short: room only
// shrinks during a pass, so that many groups of one class cost one count.
func (e *Engine) places(c *class, enough int) int {
	last := c.counted
	if last.pass == e.passes && last.places < last.enough {
		return min(last.places, enough)
	}
	places := c.places(enough)
	c.counted = placesCount{pass: e.passes, enough: enough, places: places}
	return places
}

// places counts how many tasks of the class fit now, up to enough.
func (c *class) places(enough int) int {
	left := map[string]int{}
	total := 0
	for _, w := range c.pool.workers {
		here := placesOn(c.key.need, w.free, enough-total)
		if c.spread != nil && here > 0 {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		total += here
		if total >= enough {
			return enough
		}
	}
	return total
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
