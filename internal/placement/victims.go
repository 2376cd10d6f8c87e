package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// victimsResult is the answer to a call of victimsFor.
type victimsResult struct {
	version uint64
	need    api.Resources
	below   int
	victims []*run
	found   bool
}

// victimsFor is chooseVictims, worked out once until what is free on the worker changes:
// many tasks of one shape ask all workers in turn.
func (w *worker) victimsFor(need api.Resources, below int) ([]*run, bool) {
	last := &w.cachedVictims
	if last.version != w.version || last.need != need || last.below != below {
		victims, found := w.chooseVictims(need, below)
		*last = victimsResult{version: w.version, need: need, below: below, victims: victims, found: found}
	}
	return last.victims, last.found
}

// chooseVictims returns the runs below a priority that must stop so that need fits once
// they and those asked before are gone; none if those asked before are enough. One or
// two victims are the cheapest of that number, found by trying all pairs.
//
// Of more, the largest are taken first and those not needed left out, so that there may
// be a smaller set: the exact one would be a knapsack problem.
func (w *worker) chooseVictims(need api.Resources, below int) ([]*run, bool) {
	free := w.freeOnceStopped()
	if fits(need, free) {
		return nil, true
	}
	if !fits(need, free.Add(w.preemptible)) {
		return nil, false
	}
	var candidates []*run
	for r := range w.runs {
		if r.mayBeVictim() && r.priority < below {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, compareCheapest)
	enough := func(victims ...*run) bool {
		sum := free
		for _, r := range victims {
			sum = sum.Add(r.need)
		}
		return fits(need, sum)
	}
	for _, r := range candidates {
		if enough(r) {
			return []*run{r}, true
		}
	}
	// The costlier one decides, so its loop is the outer one.
	for i, costlier := range candidates {
		for _, cheaper := range candidates[:i] {
			if enough(cheaper, costlier) {
				return []*run{cheaper, costlier}, true
			}
		}
	}
	return largestFirst(candidates, resources.Lacking(need, free), enough)
}

// largestFirst takes the victims that give most of what is lacking, then leaves out the
// most expensive that are not needed.
func largestFirst(candidates []*run, lacks api.Resources, enough func(...*run) bool) ([]*run, bool) {
	if !enough(candidates...) {
		return nil, false
	}
	bySize := slices.Clone(candidates)
	slices.SortStableFunc(bySize, func(a, b *run) int {
		return cmp.Compare(resources.NormalizedSize(resources.Min(b.need, lacks), lacks), resources.NormalizedSize(resources.Min(a.need, lacks), lacks))
	})
	count := 1
	for !enough(bySize[:count]...) {
		count++
	}
	chosen := bySize[:count]
	slices.SortFunc(chosen, compareCheapest)
	for at := len(chosen) - 1; at >= 0; at-- {
		without := slices.Delete(slices.Clone(chosen), at, at+1)
		if enough(without...) {
			chosen = without
		}
	}
	return chosen, true
}

// compareCheapest orders victims: lowest priority first, then the youngest.
func compareCheapest(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(b.started, a.started),
		compareTask(a.task, b.task),
	)
}
