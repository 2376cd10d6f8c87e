package checker

import (
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkUnknownTasks (P1): nothing runs that no caller submitted.
func (f *facts) checkUnknownTasks() []Violation {
	var found []Violation
	for _, line := range f.unknownTasks {
		found = append(found, Violation{P1, line.Task, "a task ran that no caller submitted", []monoclock.Nanos{line.Mono}})
	}
	return found
}

// checkOverlap (P1): no two runs of a task overlap in time.
func (f *facts) checkOverlap() []Violation {
	var found []Violation
	for task, runs := range f.byTask {
		open := runs[0]
		for _, next := range runs[1:] {
			if next.Mono < open.endedBy {
				found = append(found, Violation{
					P1, task,
					fmt.Sprintf("run %d on %s started while run %d on %s was open", next.Run.Run, next.Worker, open.Run.Run, open.Worker),
					[]monoclock.Nanos{next.Mono, open.Mono, open.endedBy},
				})
			}
			if next.endedBy > open.endedBy {
				open = next
			}
		}
	}
	return found
}

// checkRestartAfterSuccess (P1): no task starts after a caller saw it as succeeded, nor
// after a success that must have been acknowledged.
func (f *facts) checkRestartAfterSuccess() []Violation {
	shown := f.reportedSuccesses()
	var found []Violation
	for task, runs := range f.byTask {
		if f.untilCancelled(runs[0].name) {
			continue // has no success; checkUntilCancelled holds it to that
		}
		success := f.surelyRecordedSuccess(runs)
		seen := shown[task]
		for _, one := range runs {
			if seen != 0 && one.Mono > seen {
				found = append(found, Violation{P1, task, "started after a caller saw it as succeeded", []monoclock.Nanos{one.Mono, seen}})
			} else if success != 0 && one.Mono > success {
				found = append(found, Violation{P1, task, "started after it had succeeded on an undisturbed worker", []monoclock.Nanos{one.Mono, success}})
			}
		}
	}
	return found
}

// checkUntilCancelled (P2): no task that runs until cancelled is reported as succeeded,
// nor is its job.
func (f *facts) checkUntilCancelled() []Violation {
	var found []Violation
	shown := f.reportedSuccesses()
	for _, id := range f.jobIDs {
		f.forEachTask(f.jobs[id], func(name eventlog.TaskName) {
			if seen := shown[name.String()]; seen != 0 && f.untilCancelled(name) {
				found = append(found, Violation{P2, name.String(), "runs until cancelled, but was shown as succeeded", []monoclock.Nanos{seen}})
			}
		})
	}
	return found
}

func (f *facts) untilCancelled(name eventlog.TaskName) bool {
	spec := f.spec(name)
	return spec != nil && spec.UntilCancelled
}

// surelyRecordedSuccess returns the end of the first success whose report was not
// disturbed by a fault; 0 if there is none.
func (f *facts) surelyRecordedSuccess(runs []run) monoclock.Nanos {
	for _, one := range runs {
		if one.End != 0 && one.Outcome == api.OutcomeSucceeded && !f.disturbed(one, one.End) {
			return one.End
		}
	}
	return 0
}

// reportedSuccesses returns when a caller first saw each task as succeeded. A job that
// is reported as succeeded reports so for all of its tasks.
func (f *facts) reportedSuccesses() map[string]monoclock.Nanos {
	shown := map[string]monoclock.Nanos{}
	record := func(task string, at monoclock.Nanos) {
		if _, found := shown[task]; !found {
			shown[task] = at
		}
	}
	for _, job := range f.jobs {
		for _, poll := range job.polls {
			for _, task := range poll.Succeeded {
				record(task, poll.Answered)
			}
			if poll.State == api.StateSucceeded {
				f.forEachTask(job, func(name eventlog.TaskName) { record(name.String(), poll.Answered) })
			}
		}
	}
	return shown
}

func (f *facts) forEachTask(job *jobFacts, visit func(eventlog.TaskName)) {
	if job.spec == nil {
		return
	}
	for index := range job.spec.Steps {
		for name := range eventlog.TaskNames(job.id, &job.spec.Steps[index]) {
			visit(name)
		}
	}
}

// duplicateSuccesses counts successes of tasks beyond their first.
func (f *facts) duplicateSuccesses() int {
	count := 0
	for _, runs := range f.byTask {
		if f.untilCancelled(runs[0].name) {
			continue
		}
		successes := 0
		for _, one := range runs {
			if one.Outcome == api.OutcomeSucceeded {
				successes++
			}
		}
		count += max(0, successes-1)
	}
	return count
}
