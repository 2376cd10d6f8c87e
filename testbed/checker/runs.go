package checker

import (
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkUnknownTasks (P1): every task that runs was submitted by a caller.
func (f *facts) checkUnknownTasks() []Violation {
	var found []Violation
	for _, event := range f.unknownTasks {
		found = append(found, Violation{P1, event.Task, "a task ran that no caller submitted", []monoclock.Nanos{event.Mono}})
	}
	return found
}

// checkOverlap (P1): no two runs of a task overlap in time.
func (f *facts) checkOverlap() []Violation {
	var found []Violation
	for task, runs := range f.byTask {
		latest := runs[0]
		for _, next := range runs[1:] {
			if next.Mono < latest.endedBy {
				found = append(found, Violation{
					P1, task,
					fmt.Sprintf("run %d on %s started while run %d on %s was open", next.Run.Run, next.Worker, latest.Run.Run, latest.Worker),
					[]monoclock.Nanos{next.Mono, latest.Mono, latest.endedBy},
				})
			}
			if next.endedBy > latest.endedBy {
				latest = next
			}
		}
	}
	return found
}

// checkRestartAfterSuccess (P1): no task starts after a caller was shown that it
// succeeded, or after a success on a worker that no fault disturbed.
func (f *facts) checkRestartAfterSuccess() []Violation {
	reported := f.reportedSuccesses()
	var found []Violation
	for task, runs := range f.byTask {
		if f.untilCancelled(runs[0].name) {
			continue // never counts as succeeded, as checkUntilCancelled verifies
		}
		success := f.firstUndisturbedSuccess(runs)
		reportedAt := reported[task]
		for _, taskRun := range runs {
			if reportedAt != 0 && taskRun.Mono > reportedAt {
				found = append(found, Violation{P1, task, "started after a caller saw it as succeeded", []monoclock.Nanos{taskRun.Mono, reportedAt}})
			} else if success != 0 && taskRun.Mono > success {
				found = append(found, Violation{P1, task, "started after it had succeeded on an undisturbed worker", []monoclock.Nanos{taskRun.Mono, success}})
			}
		}
	}
	return found
}

// checkUntilCancelled (P2): a task that runs until cancelled is never reported as
// succeeded, and neither is its job.
func (f *facts) checkUntilCancelled() []Violation {
	var found []Violation
	reported := f.reportedSuccesses()
	for _, id := range f.jobIDs {
		f.forEachTask(f.jobs[id], func(name eventlog.TaskName) {
			if reportedAt := reported[name.String()]; reportedAt != 0 && f.untilCancelled(name) {
				found = append(found, Violation{P2, name.String(), "runs until cancelled, but was shown as succeeded", []monoclock.Nanos{reportedAt}})
			}
		})
	}
	return found
}

func (f *facts) untilCancelled(name eventlog.TaskName) bool {
	spec := f.spec(name)
	return spec != nil && spec.UntilCancelled
}

// firstUndisturbedSuccess returns the end of the first success whose report no fault
// disturbed; 0 if there is none. The scheduler must have acknowledged that report.
func (f *facts) firstUndisturbedSuccess(runs []run) monoclock.Nanos {
	for _, taskRun := range runs {
		if taskRun.End != 0 && taskRun.Outcome == api.OutcomeSucceeded && !f.disturbed(taskRun, taskRun.End) {
			return taskRun.End
		}
	}
	return 0
}

// reportedSuccesses returns, by task, when a caller was first shown that the task
// succeeded. A job reported as succeeded counts for all of its tasks.
func (f *facts) reportedSuccesses() map[string]monoclock.Nanos {
	reported := map[string]monoclock.Nanos{}
	record := func(task string, at monoclock.Nanos) {
		if _, found := reported[task]; !found {
			reported[task] = at
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
	return reported
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

// duplicateSuccesses counts the successes of tasks after their first one, except
// for tasks that run until cancelled.
func (f *facts) duplicateSuccesses() int {
	count := 0
	for _, runs := range f.byTask {
		if f.untilCancelled(runs[0].name) {
			continue
		}
		successes := 0
		for _, taskRun := range runs {
			if taskRun.Outcome == api.OutcomeSucceeded {
				successes++
			}
		}
		count += max(0, successes-1)
	}
	return count
}
