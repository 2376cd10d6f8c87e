package placement

import (
	"math"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/placement/resources"
)

// gangState is the part of a sub-queue that only gangs use. A gang that is not placed
// waits for one condition at a time: that a class fits more often, or that a limit of its
// queue or team allows more runs.
type gangState struct {
	// size is the number of members that must be waiting before the gang is placed.
	size int
	// members counts the waiting members by class, in the order in which the classes were
	// added.
	members []memberCount
	// awaitedClasses are classes that the gang waits for: more tasks of one of them must
	// fit before the next attempt.
	awaitedClasses []*equivalenceClass
	// awaitedLimit is the waitlist of the limit for which the gang waits; nil if it waits
	// for none.
	awaitedLimit fairshare.Waitlist
	// fittingMembers is the number of members that fitted at the last attempt.
	fittingMembers int
	// attempted is set by an attempt and cleared by reconsider.
	attempted bool
	// unschedulableSince is the pass in which an attempt first found too little capacity,
	// or in which the last drain for the gang was given up; 0 if there was neither.
	unschedulableSince uint64
}

// memberCount is the number of members of a gang that are of one class.
type memberCount struct {
	class *equivalenceClass
	count int
}

// isComplete reports whether all members of the gang are waiting. It is always true for the
// sub-queue of a class.
func (sub *subQueue) isComplete() bool { return sub.class != nil || len(sub.tasks) >= sub.size }

// countMember adds change to the number of members of a class. It does nothing if the
// sub-queue is not a gang's.
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

// reconsider activates a gang whose members changed or whose drain was given up, and
// forgets its last attempt.
func (sub *subQueue) reconsider() {
	sub.deactivate()
	sub.attempted = false
	sub.Activate()
}

// awaitClasses keeps a gang out of passes until one of the classes may fit once more.
func (sub *subQueue) awaitClasses(classes ...*equivalenceClass) {
	sub.deactivate()
	for _, c := range classes {
		// Members of several classes compete for the same capacity: capacity freed in a
		// domain that the spread rule closes to one class may help another.
		c.lastFitCount.fullDomains = nil
		sub.awaitFreedFits(c, 1)
	}
	sub.awaitedClasses = classes
}

// awaitShortage keeps a gang out of passes until the class may fit as many more times as
// are missing.
func (sub *subQueue) awaitShortage(c *equivalenceClass, missing int) {
	sub.deactivate()
	sub.awaitFreedFits(c, missing)
	sub.awaitedClasses = []*equivalenceClass{c}
}

// awaitFreedFits makes the class activate the gang once count more fits have been freed.
func (sub *subQueue) awaitFreedFits(c *equivalenceClass, count int) {
	c.awaitingGangs[sub] = c.freedFits + uint64(count)
	c.activationThreshold = min(c.activationThreshold, c.awaitingGangs[sub])
	c.pool.waitingClasses[c] = struct{}{}
}

// activateGangs lets the next pass look at gangs for which enough fits may have been
// freed. Freed fits are counted too high rather than too low, so that no gang waits while
// it would fit; an attempt that fails costs one count of fits.
func (c *equivalenceClass) activateGangs() {
	if c.freedFits < c.activationThreshold {
		return
	}
	c.activationThreshold = math.MaxUint64
	for sub, threshold := range c.awaitingGangs {
		if threshold <= c.freedFits {
			sub.Activate()
			continue
		}
		c.activationThreshold = min(c.activationThreshold, threshold)
	}
}

// awaitLimit keeps a gang out of passes until its queue or team may run size more tasks.
func (sub *subQueue) awaitLimit(size int) {
	sub.deactivate()
	sub.awaitedLimit = sub.parent.queue.Await(sub, size)
}

// stopAwaiting ends the gang's wait for classes or a limit. It does not affect
// the sub-queue of a class, whose wait is recorded in equivalenceClass.unschedulable.
func (sub *subQueue) stopAwaiting() {
	for _, c := range sub.awaitedClasses {
		delete(c.awaitingGangs, sub)
		c.unregisterIfIdle()
	}
	sub.awaitedClasses = nil
	sub.awaitedLimit.Leave(sub)
	sub.awaitedLimit = nil
}

// placeGang places all members of the gang or none. It returns false if the gang fits but
// exceeds the remaining limit of the pass: the pass then ends, and the next one starts
// with this gang.
func (p *pass) placeGang(sub *subQueue) bool {
	if !sub.parent.queue.CanRun(len(sub.tasks)) {
		sub.awaitLimit(len(sub.tasks))
		return true
	}
	sub.mayPreemptNow = false
	if p.engine.gangDrains.isDrainingFor(sub) {
		sub.deactivate()
		return true
	}
	sub.attempted = true
	members := p.engine.finder.placementOrder(sub.tasks)
	result := p.openAll(sub, members)
	if result.opened == nil {
		p.engine.gangDrains.retry(sub, func() bool {
			result = p.openAll(sub, members)
			return result.opened != nil
		})
	}
	if result.opened == nil {
		sub.awaitFits(result)
		sub.recordUnschedulableSince(p.engine.clock.pass)
		return p.preemptForGang(sub)
	}
	opened := result.opened
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

// gangPlacement is the result of an attempt to place a gang: a run for each member, or
// a class of which fewer tasks fit than the gang needs, and how many are missing. Both are
// nil if enough tasks of each class fit when counted alone, but not all members together.
type gangPlacement struct {
	opened     []*run
	shortClass *equivalenceClass
	missing    int
}

// openAll opens runs for all members of the gang or for none. It counts fits first, which
// is cheap: it tries to place member by member only if enough tasks of each class fit when
// counted alone.
func (p *pass) openAll(sub *subQueue, members []*waitingTask) gangPlacement {
	if shortClass, missing := sub.findShortage(); shortClass != nil {
		return gangPlacement{shortClass: shortClass, missing: missing}
	}
	opened := p.openUntilNoTarget(members)
	if len(opened) < len(members) {
		sub.fittingMembers = len(opened)
		p.rollBack(opened)
		return gangPlacement{}
	}
	return gangPlacement{opened: opened}
}

// awaitFits keeps a gang that found too little capacity out of passes until it may find
// enough.
func (sub *subQueue) awaitFits(result gangPlacement) {
	if result.shortClass != nil {
		sub.awaitShortage(result.shortClass, result.missing)
		return
	}
	sub.awaitClasses(sub.classes()...)
}

// recordUnschedulableSince records the first pass in which the gang found too little
// capacity.
func (sub *subQueue) recordUnschedulableSince(pass uint64) {
	if sub.unschedulableSince == 0 {
		sub.unschedulableSince = pass
	}
}

// openUntilNoTarget opens runs for members in order until one finds no target.
func (p *pass) openUntilNoTarget(members []*waitingTask) []*run {
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

// rollBack closes the runs of a failed attempt.
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

// fitCount is the last count of how often a class fits, which stopped at limit.
type fitCount struct {
	pass        uint64
	limit, fits int
	// fullDomains are the domains in which the spread rule allows no run beyond those
	// counted: capacity freed there adds no fit. They are known only if the count
	// included all workers, and are valid for one version of the pool.
	fullDomains map[string]bool
	version     uint64
}

// freedFitsOn returns an upper bound on how much a changed worker raises the last count.
func (c *equivalenceClass) freedFitsOn(w *worker) uint64 {
	if c.spread != nil && c.lastFitCount.fullDomains != nil && c.lastFitCount.version == c.pool.version {
		if domain, ok := w.Domain(c.spread.by); !ok || c.lastFitCount.fullDomains[domain] {
			return 0
		}
	}
	return uint64(resources.FitCount(c.key.need, c.availableWithNominated(w), math.MaxInt32) + c.freeSlots(w.slots))
}

// findShortage returns a class that fits less often than the gang has members of it, and
// how many fits are missing; nil if there is none. Classes are counted one by one, so nil
// does not mean that all members fit together.
func (sub *subQueue) findShortage() (shortClass *equivalenceClass, missing int) {
	sub.fittingMembers = 0
	for _, m := range sub.members {
		count := m.class.fitCountThisPass(m.count)
		sub.fittingMembers += count
		if count < m.count && shortClass == nil {
			shortClass, missing = m.class, m.count-count
		}
	}
	return shortClass, missing
}

// fitCountThisPass is fitCount, but does not repeat a count of this pass that fell short
// of its limit: free capacity only shrinks during a pass. Many gangs of one class
// therefore cost one count.
func (c *equivalenceClass) fitCountThisPass(limit int) int {
	last := &c.lastFitCount
	if last.pass == c.clock.pass && last.fits < last.limit {
		return min(last.fits, limit)
	}
	c.lastFitCount = fitCount{pass: c.clock.pass, limit: limit, version: c.pool.version}
	c.lastFitCount.fits = c.fitCount(limit)
	return c.lastFitCount.fits
}

// fitCount counts how many tasks of the class fit now, up to limit. Free slots are
// counted without the spread rule, so with such a rule fewer tasks may fit. It visits
// each worker of the pool once.
func (c *equivalenceClass) fitCount(limit int) int {
	remaining := map[string]int{}
	total := 0
	for _, r := range c.reservations {
		total += min(c.freeSlots(r.slots), limit-total)
	}
	for _, w := range c.pool.workers {
		if total >= limit {
			return limit
		}
		fitsHere := min(resources.FitCount(c.key.need, c.availableOn(w), limit-total), c.maxRunsOn(w))
		if c.spread != nil && fitsHere > 0 {
			fitsHere = takeFromDomain(remaining, c.spread, &w.Worker, fitsHere)
		}
		total += fitsHere
	}
	if c.spread != nil {
		c.lastFitCount.fullDomains = fullDomains(remaining)
	}
	return total
}

// fullDomains returns the domains that have no runs remaining.
func fullDomains(remaining map[string]int) map[string]bool {
	full := map[string]bool{}
	for domain, runs := range remaining {
		if runs == 0 {
			full[domain] = true
		}
	}
	return full
}

// takeFromDomain returns how many of the wanted runs the worker's domain still allows,
// and subtracts them from remaining.
func takeFromDomain(remaining map[string]int, rule *spreadRule, worker *Worker, wanted int) int {
	domain, ok := worker.Domain(rule.by)
	if !ok {
		return 0
	}
	if _, seen := remaining[domain]; !seen {
		remaining[domain] = max(rule.remaining(worker), 0)
	}
	taken := min(wanted, remaining[domain])
	remaining[domain] -= taken
	return taken
}

// fitCountOnIdleWorkers counts how many tasks of the class would fit, up to limit, if the
// workers had no runs except those counted in worker.longRunning.
func (c *equivalenceClass) fitCountOnIdleWorkers(limit int) int {
	return c.fitCountWith(limit, 0, func(w *worker) api.Resources { return w.Capacity.Sub(w.longRunning) })
}

// fitCountWithPreemption counts how many tasks of the class would fit if all preemptible
// runs stopped, up to limit. Free slots are counted without the spread rule.
func (c *equivalenceClass) fitCountWithPreemption(limit int) int {
	inSlots := 0
	for _, r := range c.reservations {
		inSlots += c.freeSlots(r.slots)
	}
	return c.fitCountWith(limit, inSlots, func(w *worker) api.Resources {
		if w.restricted && !c.key.untilCancelled {
			// Nothing fits where a dimension is negative.
			return api.Resources{CPUMillis: -1}
		}
		return w.freeOnceStopped().Add(w.preemptible)
	})
}

// fitCountWith adds to total how many tasks of the class fit in free(w) of each worker w
// of the pool, within the domains of the spread rule. It stops once total reaches limit.
func (c *equivalenceClass) fitCountWith(limit, total int, free func(*worker) api.Resources) int {
	remaining := map[string]int{}
	for _, w := range c.pool.workers {
		if total >= limit {
			break
		}
		fitsHere := resources.FitCount(c.key.need, free(w), limit-total)
		if c.spread != nil && fitsHere > 0 {
			fitsHere = takeFromDomain(remaining, c.spread, &w.Worker, fitsHere)
		}
		total += fitsHere
	}
	return total
}

// resetFitCounts makes this pass count the fits of the gang's classes anew.
func (sub *subQueue) resetFitCounts() {
	for _, m := range sub.members {
		m.class.lastFitCount = fitCount{}
	}
}
