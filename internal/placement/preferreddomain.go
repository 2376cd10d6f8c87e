package placement

import (
	"slices"

	"github.com/decklever/decklever/internal/placement/resources"
)

// preferredDomainOf returns the domain in which the next task of a step is to lie. The
// step keeps its home for as long as that has room for the task; then it gets
// another one.
func (f *targetFinder) preferredDomainOf(w *waiting) string {
	s := f.steps.get(w.ID.StepID())
	if s.preferredDomain != "" && w.class.fitsInDomain(w.Colocate, s.preferredDomain, f.workers.sizeOf(w.class)) {
		return s.preferredDomain
	}
	s.preferredDomain = w.class.choosePreferredDomain(w.Colocate, f.workers.sizeOf(w.class), max(w.StepSize-s.runs, 1))
	return s.preferredDomain
}

// fitsInDomain reports whether a task of the class fits on a worker of the domain.
func (c *equivalenceClass) fitsInDomain(by, domain string, least float64) bool {
	return slices.ContainsFunc(c.pool.withFreeSize(least), func(w *worker) bool {
		here, ok := w.Domain(by)
		return ok && here == domain && c.fitsOn(w)
	})
}

// choosePreferredDomain returns the domain for the rest of a step: of those with room for
// all that is wanted the one with the least, else the one with the most; ties
// by name. It is empty if no worker has such a domain.
func (c *equivalenceClass) choosePreferredDomain(by string, least float64, wanted int) string {
	places := map[string]int{}
	left := map[string]int{}
	for _, w := range c.pool.withFreeSize(least) {
		domain, ok := w.Domain(by)
		if !ok || !c.fitsOn(w) {
			continue
		}
		// Counted up to twice what is wanted: enough to tell a tight domain
		// from a roomy one.
		here := resources.FitCount(c.key.need, c.availableOn(w), 2*wanted)
		if c.spread != nil {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		places[domain] += here
	}
	best := ""
	for domain, count := range places {
		if best == "" || isBetterDomain(domain, count, best, places[best], wanted) {
			best = domain
		}
	}
	return best
}

func isBetterDomain(domain string, places int, other string, otherFits, wanted int) bool {
	whole, otherWhole := places >= wanted, otherFits >= wanted
	switch {
	case whole != otherWhole:
		return whole
	case places == otherFits:
		return domain < other
	default:
		return (places < otherFits) == whole
	}
}
