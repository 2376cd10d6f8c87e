package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// change is a start or an end of a run.
type change struct {
	at    monoclock.Nanos
	start bool
	one   run
}

// changes lists starts and ends in the order of time; of equal times, ends go first,
// because they free what a start may use.
func changes(runs []run) []change {
	var all []change
	for _, one := range runs {
		all = append(all, change{one.Mono, true, one}, change{one.endedBy, false, one})
	}
	slices.SortStableFunc(all, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(changeOrder(a.start), changeOrder(b.start)))
	})
	return all
}

func changeOrder(start bool) int {
	if start {
		return 1
	}
	return 0
}

// checkCapacity (P5): the open runs on a worker never use more than its capacity.
func (f *facts) checkCapacity() []Violation {
	used := map[string]api.Resources{}
	var found []Violation
	for _, change := range changes(f.runs) {
		worker := change.one.Worker
		need := f.spec(change.one.name).Resources
		if !change.start {
			used[worker] = used[worker].Sub(need)
			continue
		}
		used[worker] = used[worker].Add(need)
		if capacity := f.workers[worker].Capacity; !used[worker].Fits(capacity) {
			text := fmt.Sprintf("overfilled %s: %+v of %+v", worker, used[worker], capacity)
			found = append(found, Violation{P5, change.one.Task, text, []monoclock.Nanos{change.at}})
		}
	}
	return found
}

// checkPlacement (P5): the worker offers the service and has the labels.
func (f *facts) checkPlacement() []Violation {
	var found []Violation
	for _, one := range f.runs {
		spec := f.spec(one.name)
		worker, known := f.workers[one.Worker]
		switch {
		case !known:
			found = append(found, Violation{P5, one.Task, "ran on the unknown worker " + one.Worker, []monoclock.Nanos{one.Mono}})
		case !slices.Contains(worker.Services, spec.Service):
			found = append(found, Violation{P5, one.Task, one.Worker + " does not offer " + spec.Service, []monoclock.Nanos{one.Mono}})
		default:
			for key, value := range spec.Labels {
				if worker.label(key) != value {
					text := fmt.Sprintf("%s has not the label %s=%s", one.Worker, key, value)
					found = append(found, Violation{P5, one.Task, text, []monoclock.Nanos{one.Mono}})
				}
			}
		}
	}
	return found
}

// zoneLabel is the label that an agent adds for its workers.
const zoneLabel = "zone"

func (w Worker) label(key string) string {
	if key == zoneLabel {
		return w.Zone
	}
	return w.Labels[key]
}

// domain returns the spread domain of the worker.
func (w Worker) domain(by string) string {
	switch {
	case by == api.SpreadByWorker:
		return w.Name
	case by == api.SpreadByZone:
		return w.Zone
	default:
		return w.label(strings.TrimPrefix(by, api.SpreadByLabelPrefix))
	}
}

// checkSpread (P5): no start puts more runs of a step into a domain than its spread
// rule allows.
func (f *facts) checkSpread() []Violation {
	type stepDomain struct{ job, step, by, domain string }
	open := map[stepDomain]int{}
	var found []Violation
	for _, change := range changes(f.runs) {
		spread := f.spec(change.one.name).Spread
		if spread == nil {
			continue
		}
		name := change.one.name
		at := stepDomain{name.Job, name.Step, spread.By, f.workers[change.one.Worker].domain(spread.By)}
		if !change.start {
			open[at]--
			continue
		}
		open[at]++
		if capacity := cmp.Or(spread.MaxPerDomain, defaultMaxPerDomain); open[at] > capacity {
			text := fmt.Sprintf("%d runs of its step in %s %q, %d allowed", open[at], spread.By, at.domain, capacity)
			found = append(found, Violation{P5, change.one.Task, text, []monoclock.Nanos{change.at}})
		}
	}
	return found
}
