package checker

import (
	"fmt"
	"math"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkFailures (P3): a task that has used up its allowed failures does not start
// again. Failures whose report may have been lost do not count.
func (f *facts) checkFailures() []Violation {
	var found []Violation
	for task, runs := range f.byTask {
		allowed := f.allowedFailures(runs[0].name)
		failures := 0
		var last monoclock.Nanos
		for _, one := range runs {
			if failures >= allowed && one.Mono > last {
				text := fmt.Sprintf("run %d started after %d failures of %d allowed", one.Run.Run, failures, allowed)
				found = append(found, Violation{P3, task, text, []monoclock.Nanos{one.Mono, last}})
			}
			if one.End != 0 && one.Outcome == api.OutcomeFailed && !f.disturbed(one, one.End) {
				failures++
				last = max(last, one.End)
			}
		}
	}
	return found
}

func (f *facts) allowedFailures(name eventlog.TaskName) int {
	if f.untilCancelled(name) {
		return math.MaxInt
	}
	if own := f.spec(name).AllowedFailures; own != nil {
		return max(1, *own)
	}
	for _, queue := range f.input.Config.Queues {
		if queue.Name == f.jobs[name.Job].spec.Queue && queue.DefaultAllowedFailures > 0 {
			return queue.DefaultAllowedFailures
		}
	}
	return defaultFailures
}
