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
		for _, taskRun := range runs {
			if failures >= allowed && taskRun.Mono > last {
				text := fmt.Sprintf("run %d started after %d failures of %d allowed", taskRun.Run.Run, failures, allowed)
				found = append(found, Violation{P3, task, text, []monoclock.Nanos{taskRun.Mono, last}})
			}
			if taskRun.End != 0 && taskRun.Outcome == api.OutcomeFailed && !f.disturbed(taskRun, taskRun.End) {
				failures++
				last = max(last, taskRun.End)
			}
		}
	}
	return found
}

// allowedFailures returns the failures allowed by the task, else by its queue, else the
// default. Tasks that run until cancelled have no limit.
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
	return defaultAllowedFailures
}
