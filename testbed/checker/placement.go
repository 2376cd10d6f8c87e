package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// change is the start or the end of a run.
type change struct {
	at      monoclock.Nanos
	start   bool
	taskRun run
}

// changes lists the starts and ends of runs, sorted by time. Ends precede starts of the
// same time, because they free resources that the start may use.
func changes(runs []run) []change {
	var all []change
	for _, taskRun := range runs {
		all = append(all, change{taskRun.Mono, true, taskRun}, change{taskRun.endedBy, false, taskRun})
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
		worker := change.taskRun.Worker
		need := f.spec(change.taskRun.name).Resources
		if !change.start {
			used[worker] = used[worker].Sub(need)
			continue
		}
		used[worker] = used[worker].Add(need)
		if capacity := f.workers[worker].Capacity; !used[worker].Fits(capacity) {
			text := fmt.Sprintf("overfilled %s: %+v of %+v", worker, used[worker], capacity)
			found = append(found, Violation{P5, change.taskRun.Task, text, []monoclock.Nanos{change.at}})
		}
	}
	return found
}

// checkPlacement (P5): the worker of a run offers the task's service and has its
// labels.
func (f *facts) checkPlacement() []Violation {
	var found []Violation
	for _, taskRun := range f.runs {
		spec := f.spec(taskRun.name)
		worker, known := f.workers[taskRun.Worker]
		switch {
		case !known:
			found = append(found, Violation{P5, taskRun.Task, "ran on the unknown worker " + taskRun.Worker, []monoclock.Nanos{taskRun.Mono}})
		case !slices.Contains(worker.Services, spec.Service):
			found = append(found, Violation{P5, taskRun.Task, taskRun.Worker + " does not offer " + spec.Service, []monoclock.Nanos{taskRun.Mono}})
		default:
			for key, value := range spec.Labels {
				if worker.label(key) != value {
					text := fmt.Sprintf("%s has not the label %s=%s", taskRun.Worker, key, value)
					found = append(found, Violation{P5, taskRun.Task, text, []monoclock.Nanos{taskRun.Mono}})
				}
			}
		}
	}
	return found
}

// zoneLabel is the label that an agent adds to the labels of its workers.
const zoneLabel = "zone"

func (w Worker) label(key string) string {
	if key == zoneLabel {
		return w.Zone
	}
	return w.Labels[key]
}

// domain returns the spread domain of the worker under a spread rule of the kind by.
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

// checkSpread (P5): no start raises the number of open runs of a step in a domain above
// the limit of the spread rule.
func (f *facts) checkSpread() []Violation {
	type stepDomain struct{ job, step, by, domain string }
	open := map[stepDomain]int{}
	var found []Violation
	for _, change := range changes(f.runs) {
		spread := f.spec(change.taskRun.name).Spread
		if spread == nil {
			continue
		}
		name := change.taskRun.name
		at := stepDomain{name.Job, name.Step, spread.By, f.workers[change.taskRun.Worker].domain(spread.By)}
		if !change.start {
			open[at]--
			continue
		}
		open[at]++
		if capacity := cmp.Or(spread.MaxPerDomain, defaultMaxPerDomain); open[at] > capacity {
			text := fmt.Sprintf("%d runs of its step in %s %q, %d allowed", open[at], spread.By, at.domain, capacity)
			found = append(found, Violation{P5, change.taskRun.Task, text, []monoclock.Nanos{change.at}})
		}
	}
	return found
}
