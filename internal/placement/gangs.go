package placement

import (
	"math"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/placement/resources"
)

// gangState is what a sub-queue keeps if it holds the members of a gang. A gang that is
// not placed waits for one thing at a time: a class to fit more often, or a limit.
type gangState struct {
	// size is the number of members that must wait together.
	size int
	// members counts the members by class, in the order that classes came.
	members []memberCount
	// awaitedClasses are the classes of which one must fit more often before another
	// attempt.
	awaitedClasses []*equivalenceClass
	// awaitedLimit is the list on which the gang waits for a limit; nil if it does not.
	awaitedLimit fairshare.Waitlist
	// freeMembers is how many members fit at the last attempt; tried tells whether there
	// was one.
	freeMembers int
	tried       bool
	// unschedulableSince is the pass in which an attempt first found too little; 0 if
	// none did.
	unschedulableSince uint64
}

// memberCount is how many members of a gang are of one class.
type memberCount struct {
	class *equivalenceClass
	count int
}

// complete reports whether all members wait. The sub-queue of a class always is.
func (sub *subQueue) complete() bool { return sub.class != nil || len(sub.tasks) >= sub.size }

// countMember adds to the number of members of a class, if this is a gang.
func (sub *subQueue) countMember(c *equivalenceClass, change int) {
	if sub.class != nil {
		return
	}
	at := slices.IndexFunc(sub.members, func(m memberCount) bool { return m.class == c })
	if at < 0 {
		sub.members = append(sub.members, memberCount{class: c, count: change})
		return
	}
	sub.members[at].count += change
	if sub.members[at].count == 0 {
		sub.members = slices.Delete(sub.members, at, at+1)
	}
}

// reconsider lets the next pass look at a gang whose members changed.
func (sub *subQueue) reconsider() {
	sub.deactivate()
	sub.tried = false
	sub.Activate()
}

// awaitClasses keeps a gang out of passes until one of the classes fits once more.
func (sub *subQueue) awaitClasses(classes ...*equivalenceClass) {
	sub.deactivate()
	for _, c := range classes {
		// Members of several classes compete for the same capacity, also where the
		// spread rule alone leaves one of them nothing.
		c.lastFitCount.full = nil
		sub.awaitFreedFits(c, 1)
	}
	sub.awaitedClasses = classes
}

// awaitShortage keeps a gang out of passes until the class fits as many times more as it
// was short of.
func (sub *subQueue) awaitShortage(c *equivalenceClass, missing int) {
	sub.deactivate()
	sub.awaitFreedFits(c, missing)
	sub.awaitedClasses = []*equivalenceClass{c}
}

// awaitFreedFits has the class activate the gang once it was freed so many more fits.
func (sub *subQueue) awaitFreedFits(c *equivalenceClass, count int) {
	c.awaitingGangs[sub] = c.freedFits + uint64(count)
	c.activateAt = min(c.activateAt, c.awaitingGangs[sub])
	c.pool.unschedulable[c] = struct{}{}
}

// activateGangs lets the next pass look at gangs for which enough fits may have been
// freed. Freed fits are counted too high rather than too low, so that no gang waits
// beside capacity; an attempt in vain costs one count.
func (c *equivalenceClass) activateGangs() {
	if c.freedFits < c.activateAt {
		return
	}
	c.activateAt = math.MaxUint64
	for sub, at := range c.awaitingGangs {
		if at <= c.freedFits {
			sub.Activate()
			continue
		}
		c.activateAt = min(c.activateAt, at)
	}
}

// awaitLimit keeps a gang out of passes until the queue or its team may run more.
func (sub *subQueue) awaitLimit(size int) {
	sub.deactivate()
	sub.awaitedLimit = sub.parent.queue.Await(sub, size)
}

// stopAwaiting forgets what the gang waits for. The sub-queue of a class waits for
// nothing here: its class tells whether it is unschedulable.
func (sub *subQueue) stopAwaiting() {
	for _, c := range sub.awaitedClasses {
		delete(c.awaitingGangs, sub)
		c.leaveUnschedulable()
	}
	sub.awaitedClasses = nil
	sub.awaitedLimit.Leave(sub)
	sub.awaitedLimit = nil
}

// placeGang places all members of the gang or none. It returns false if the gang fits
// but not in what is left of the limit of the pass: the pass then ends, and the next one
// starts with this gang.
func (p *pass) placeGang(sub *subQueue) bool {
	if !sub.parent.queue.CanRun(len(sub.tasks)) {
		sub.awaitLimit(len(sub.tasks))
		return true
	}
	sub.mayPreemptNow = false
	if p.engine.gangDrains.isFor(sub) {
		sub.deactivate()
		return true
	}
	sub.tried = true
	members := p.engine.finder.placementOrder(sub.tasks)
	found := p.openAll(sub, members)
	if found.opened == nil {
		p.engine.gangDrains.retry(sub, func() bool {
			found = p.openAll(sub, members)
			return found.opened != nil
		})
	}
	if found.opened == nil {
		sub.awaitFits(found)
		sub.recordUnschedulableSince(p.engine.clock.pass)
		return p.preemptForGang(sub)
	}
	opened := found.opened
	if len(p.decisions) > 0 && len(p.decisions)+len(members) > p.limit {
		p.rollBack(opened)
		return false
	}
	sub.deactivate()
	for i, member := range members {
		p.recordDecision(member, opened[i])
	}
	return true
}

// gangPlacement is what an attempt to place a gang found: a run for each member, or the
// class that does not fit often enough, if that alone tells.
type gangPlacement struct {
	opened  []*run
	short   *equivalenceClass
	missing int
}

// openAll opens runs for all members of the gang or for none. It counts first, which is
// cheap: only a gang whose classes fit often enough, each for itself, is tried member by
// member.
func (p *pass) openAll(sub *subQueue, members []*waiting) gangPlacement {
	if short, missing := sub.findShortage(); short != nil {
		return gangPlacement{short: short, missing: missing}
	}
	opened := p.tryAll(members)
	if len(opened) < len(members) {
		sub.freeMembers = len(opened)
		p.rollBack(opened)
		return gangPlacement{}
	}
	return gangPlacement{opened: opened}
}

// awaitFits keeps a gang that found too little out of passes until it may find enough.
func (sub *subQueue) awaitFits(found gangPlacement) {
	if found.short != nil {
		sub.awaitShortage(found.short, found.missing)
		return
	}
	sub.awaitClasses(sub.classes()...)
}

// recordUnschedulableSince keeps the first pass in which the gang found too little.
func (sub *subQueue) recordUnschedulableSince(pass uint64) {
	if sub.unschedulableSince == 0 {
		sub.unschedulableSince = pass
	}
}

// tryAll opens runs for members until one finds no target.
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

// rollBack closes the runs of an attempt that failed.
func (p *pass) rollBack(opened []*run) {
	for _, r := range opened {
		p.engine.runs.close(r)
	}
}

// classes returns the classes of the gang's members.
func (sub *subQueue) classes() []*equivalenceClass {
	classes := make([]*equivalenceClass, 0, len(sub.members))
	for _, m := range sub.members {
		classes = append(classes, m.class)
	}
	return classes
}

// fitCount is how often a class fitted when it was last counted, up to enough.
type fitCount struct {
	pass         uint64
	enough, fits int
	// full are the domains that the spread rule closed, if it was counted to the end:
	// what is freed there makes no fit. It holds for one version of the pool.
	full    map[string]bool
	version uint64
}

// freedFitsOn is by how much at most a changed worker can raise the last count.
func (c *equivalenceClass) freedFitsOn(w *worker) uint64 {
	if c.spread != nil && c.lastFitCount.full != nil && c.lastFitCount.version == c.pool.version {
		if domain, ok := w.Domain(c.spread.by); !ok || c.lastFitCount.full[domain] {
			return 0
		}
	}
	return uint64(resources.FitCount(c.key.need, c.availableWithNominated(w), math.MaxInt32) + c.freeSlots(w.slots))
}

// findShortage returns a class that fits less often than the gang has members of it, and
// how many are missing, or nil. Classes are counted one by one, so nil does not say that
// all fit together.
func (sub *subQueue) findShortage() (short *equivalenceClass, missing int) {
	sub.freeMembers = 0
	for _, m := range sub.members {
		count := m.class.fitCountThisPass(m.count)
		sub.freeMembers += count
		if count < m.count && short == nil {
			short, missing = m.class, m.count-count
		}
	}
	return short, missing
}

// fitCountThisPass is fitCount, counted once a pass where it fell short: free capacity
// only shrinks during a pass, so that many gangs of one class cost one count.
func (c *equivalenceClass) fitCountThisPass(enough int) int {
	last := &c.lastFitCount
	if last.pass == c.clock.pass && last.fits < last.enough {
		return min(last.fits, enough)
	}
	c.lastFitCount = fitCount{pass: c.clock.pass, enough: enough, version: c.pool.version}
	c.lastFitCount.fits = c.fitCount(enough)
	return c.lastFitCount.fits
}

// fitCount counts how many tasks of the class fit now, up to enough. Slots count whole:
// with a spread rule fewer may fit. It costs one look at each worker of the pool.
func (c *equivalenceClass) fitCount(enough int) int {
	left := map[string]int{}
	total := 0
	for _, r := range c.reservations {
		total += min(c.freeSlots(r.slots), enough-total)
	}
	for _, w := range c.pool.workers {
		if total >= enough {
			return enough
		}
		here := min(resources.FitCount(c.key.need, c.availableOn(w), enough-total), c.maxRunsOn(w))
		if c.spread != nil && here > 0 {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		total += here
	}
	if c.spread != nil {
		c.lastFitCount.full = fullDomains(left)
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

// takeFromDomain returns how many of the wanted runs the worker's domain still takes,
// and counts them in left.
func takeFromDomain(left map[string]int, rule *spreadRule, worker *Worker, wanted int) int {
	domain, ok := worker.Domain(rule.by)
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

// fitCountOnIdleWorkers counts how many tasks of the class would fit on workers on which
// nothing ran but what runs until cancelled, up to enough.
func (c *equivalenceClass) fitCountOnIdleWorkers(enough int) int {
	return c.fitCountWith(enough, 0, func(w *worker) api.Resources { return w.Capacity.Sub(w.longRunning) })
}

// fitCountWithPreemption counts how many would fit if all preemptible runs stopped, up to
// enough; slots count whole.
func (c *equivalenceClass) fitCountWithPreemption(enough int) int {
	inSlots := 0
	for _, r := range c.reservations {
		inSlots += c.freeSlots(r.slots)
	}
	return c.fitCountWith(enough, inSlots, func(w *worker) api.Resources {
		if w.restricted && !c.key.untilCancelled {
			// No need fits where a dimension is negative.
			return api.Resources{CPUMillis: -1}
		}
		return w.freeOnceStopped().Add(w.preemptible)
	})
}

// fitCountWith counts on top of total what fits in free of each worker of the pool, and
// in the domains of the spread rule, up to enough.
func (c *equivalenceClass) fitCountWith(enough, total int, free func(*worker) api.Resources) int {
	left := map[string]int{}
	for _, w := range c.pool.workers {
		if total >= enough {
			break
		}
		here := resources.FitCount(c.key.need, free(w), enough-total)
		if c.spread != nil && here > 0 {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		total += here
	}
	return total
}

// resetFitCounts has the classes of a gang counted anew in this pass.
func (sub *subQueue) resetFitCounts() {
	for _, m := range sub.members {
		m.class.lastFitCount = fitCount{}
	}
}
