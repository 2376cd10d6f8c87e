package placement

import (
	"math"

	"github.com/decklever/decklever/internal/placement/resources"
)

// fitCount is how many tasks of a class had room, counted up to enough.
type fitCount struct {
	pass         uint64
	enough, fits int
	// full are the domains that the spread rule closed, if it was counted to
	// the end: room freed there makes no place. It holds for one version of
	// workers.
	full    map[string]bool
	version uint64
}

// freedFitsOn is the most places that a changed worker can add to the last
// count.
func (c *equivalenceClass) freedFitsOn(w *worker) uint64 {
	if c.spread != nil && c.lastFitCount.full != nil && c.lastFitCount.version == c.pool.version {
		if domain, ok := w.Domain(c.spread.by); !ok || c.lastFitCount.full[domain] {
			return 0
		}
	}
	return uint64(resources.FitCount(c.key.need, c.availableWithNominated(w), math.MaxInt32) + c.freeSlots(w.slots))
}

// findShortage returns a class that has fewer places than the group has
// members of it, and how many are missing, or nil. Classes are counted one by
// one, so nil does not promise that all fit together.
func (sub *subQueue) findShortage() (short *equivalenceClass, missing int) {
	sub.freeMembers = 0
	for _, m := range sub.members {
		places := m.class.fitCountThisPass(m.count)
		sub.freeMembers += places
		if places < m.count && short == nil {
			short, missing = m.class, m.count-places
		}
	}
	return short, missing
}

// places is class.places, counted once a pass where it fell short: room only
// shrinks during a pass, so that many groups of one class cost one count.
func (c *equivalenceClass) fitCountThisPass(enough int) int {
	last := &c.lastFitCount
	if last.pass == c.clock.pass && last.fits < last.enough {
		return min(last.fits, enough)
	}
	c.lastFitCount = fitCount{pass: c.clock.pass, enough: enough, version: c.pool.version}
	c.lastFitCount.fits = c.fitCount(enough)
	return c.lastFitCount.fits
}

// places counts how many tasks of the class fit now, up to enough. Slices
// count whole: with a spread rule there may be fewer.
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

// takeFromDomain returns how many of the wanted runs the worker's domain still
// takes, and counts them in left.
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

// fitCountOnIdleWorkers counts these places, up to enough.
func (c *equivalenceClass) fitCountOnIdleWorkers(enough int) int {
	left := map[string]int{}
	total := 0
	for _, w := range c.pool.workers {
		if total >= enough {
			break
		}
		here := resources.FitCount(c.key.need, w.Capacity.Sub(w.longRunning), enough-total)
		if c.spread != nil && here > 0 {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		total += here
	}
	return total
}

// fitCountWithPreemption is class.places with the room of preemptible runs.
func (c *equivalenceClass) fitCountWithPreemption(enough int) int {
	left := map[string]int{}
	total := 0
	for _, r := range c.reservations {
		total += c.freeSlots(r.slots)
	}
	for _, w := range c.pool.workers {
		if total >= enough {
			break
		}
		if w.restricted && !c.key.untilCancelled {
			continue
		}
		here := resources.FitCount(c.key.need, w.freeOnceStopped().Add(w.preemptible), enough-total)
		if c.spread != nil && here > 0 {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		total += here
	}
	return total
}

// resetFitCounts has the places for a group counted anew.
func (sub *subQueue) resetFitCounts() {
	for _, m := range sub.members {
		m.class.lastFitCount = fitCount{}
	}
}
