package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// victimsResult is the cached result of a call of victimsFor.
type victimsResult struct {
	version  uint64
	need     api.Resources
	priority int
	victims  []*run
	found    bool
}

// victimsFor is chooseVictims with its last result cached until the free capacity of the
// worker changes: many tasks of one class ask all workers in turn.
func (w *worker) victimsFor(need api.Resources, priority int) ([]*run, bool) {
	last := &w.cachedVictims
	if last.version != w.version || last.need != need || last.priority != priority {
		victims, found := w.chooseVictims(need, priority)
		*last = victimsResult{version: w.version, need: need, priority: priority, victims: victims, found: found}
	}
	return last.victims, last.found
}

// chooseVictims returns the runs of a lower priority that must stop so that need fits
// once they, and the runs already stopping, are gone: none if the runs already stopping
// suffice. It returns false if stopping all candidates does not suffice. If one or two
// victims suffice it returns the cheapest such set, found by trying all single runs and
// then all pairs.
//
// If more are needed it takes the largest first and leaves out those not needed, so there
// may be a smaller set: to find the smallest is a knapsack problem.
func (w *worker) chooseVictims(need api.Resources, priority int) ([]*run, bool) {
	free := w.freeOnceStopped()
	if fits(need, free) {
		return nil, true
	}
	if !fits(need, free.Add(w.preemptible)) {
		return nil, false
	}
	var candidates []*run
	for r := range w.runs {
		if r.mayBeVictim() && r.priority < priority {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, compareCheapest)
	suffices := func(victims ...*run) bool {
		sum := free
		for _, r := range victims {
			sum = sum.Add(r.need)
		}
		return fits(need, sum)
	}
	for _, r := range candidates {
		if suffices(r) {
			return []*run{r}, true
		}
	}
	// The outer loop is over the costlier run, because that decides which pair is
	// cheaper.
	for i, costlier := range candidates {
		for _, cheaper := range candidates[:i] {
			if suffices(cheaper, costlier) {
				return []*run{cheaper, costlier}, true
			}
		}
	}
	return chooseLargestFirst(candidates, resources.Shortfall(need, free), suffices)
}

// chooseLargestFirst takes the candidates that free most of the shortfall, then leaves
// out those that are not needed, most expensive first. It returns false if all candidates
// together do not suffice.
func chooseLargestFirst(candidates []*run, shortfall api.Resources, suffices func(...*run) bool) ([]*run, bool) {
	if !suffices(candidates...) {
		return nil, false
	}
	bySize := slices.Clone(candidates)
	slices.SortStableFunc(bySize, func(a, b *run) int {
		return cmp.Compare(resources.NormalizedSize(resources.Min(b.need, shortfall), shortfall), resources.NormalizedSize(resources.Min(a.need, shortfall), shortfall))
	})
	count := 1
	for !suffices(bySize[:count]...) {
		count++
	}
	chosen := bySize[:count]
	slices.SortFunc(chosen, compareCheapest)
	for at := len(chosen) - 1; at >= 0; at-- {
		rest := slices.Delete(slices.Clone(chosen), at, at+1)
		if suffices(rest...) {
			chosen = rest
		}
	}
	return chosen, true
}

// compareCheapest orders victims by priority, lowest first, then by start, youngest
// first.
func compareCheapest(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(b.started, a.started),
		compareTask(a.task, b.task),
	)
}
