package checker

import (
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// commonOutcomeStep returns the step of a task if the step's tasks are a gang with a
// common outcome; nil otherwise.
func (f *facts) commonOutcomeStep(name eventlog.TaskName) *api.StepSpec {
	step := f.jobs[name.Job].step(name.Step)
	if step == nil || !step.Lockstep {
		return nil
	}
	return step
}

// forEachMember calls visit for each run of each member of a step.
func (f *facts) forEachMember(job string, step *api.StepSpec, visit func(run)) {
	for member := range eventlog.TaskNames(job, step) {
		for _, taskRun := range f.byTask[member.String()] {
			visit(taskRun)
		}
	}
}

// gangSuccess returns the end of the first success of any member of a gang with a
// common outcome, which counts as the success of all members; 0 if there is none.
func (f *facts) gangSuccess(job string, step *api.StepSpec) monoclock.Nanos {
	var first monoclock.Nanos
	f.forEachMember(job, step, func(taskRun run) {
		if taskRun.End != 0 && taskRun.Outcome == api.OutcomeSucceeded && (first == 0 || taskRun.End < first) {
			first = taskRun.End
		}
	})
	return first
}

// gangSucceededWith reports whether a member of the task's gang succeeded under a run
// number under which the task itself ran too.
func (f *facts) gangSucceededWith(task string) bool {
	name, err := eventlog.ParseTask(task)
	if err != nil || f.commonOutcomeStep(name) == nil {
		return false
	}
	memberRuns := map[uint32]bool{}
	for _, taskRun := range f.byTask[task] {
		memberRuns[taskRun.Run.Run] = true
	}
	succeeded := false
	f.forEachMember(name.Job, f.commonOutcomeStep(name), func(taskRun run) {
		succeeded = succeeded || taskRun.End != 0 && taskRun.Outcome == api.OutcomeSucceeded && memberRuns[taskRun.Run.Run]
	})
	return succeeded
}

// gangFailures counts the run numbers under which any member of the task's gang failed;
// 0 for tasks without a common outcome.
func (f *facts) gangFailures(name eventlog.TaskName) int {
	step := f.commonOutcomeStep(name)
	if step == nil {
		return 0
	}
	failed := map[uint32]bool{}
	f.forEachMember(name.Job, step, func(taskRun run) {
		if taskRun.Outcome == api.OutcomeFailed {
			failed[taskRun.Run.Run] = true
		}
	})
	return len(failed)
}

// gangSucceededBy reports whether the gang of the run, with a common outcome, had
// succeeded by a time.
func (f *facts) gangSucceededBy(taskRun run, at monoclock.Nanos) bool {
	step := f.commonOutcomeStep(taskRun.name)
	if step == nil {
		return false
	}
	success := f.gangSuccess(taskRun.name.Job, step)
	return success != 0 && success <= at
}

// checkGangRestarts (P1): no member of a gang with a common outcome starts under a
// higher run number after a member succeeded on a worker that no fault disturbed.
func (f *facts) checkGangRestarts() []Violation {
	var found []Violation
	for _, taskRun := range f.runs {
		step := f.commonOutcomeStep(taskRun.name)
		if step == nil || f.untilCancelled(taskRun.name) {
			continue
		}
		var success monoclock.Nanos
		f.forEachMember(taskRun.name.Job, step, func(other run) {
			done := other.End != 0 && other.Outcome == api.OutcomeSucceeded && other.Run.Run < taskRun.Run.Run
			if done && other.End < taskRun.Mono && !f.disturbed(other, other.End) {
				success = other.End
			}
		})
		if success != 0 {
			found = append(found, Violation{P1, taskRun.Task, "started after a member of its group had succeeded on an undisturbed worker", []monoclock.Nanos{taskRun.Mono, success}})
		}
	}
	return found
}

// checkGangRuns (P9): members of a gang with a common outcome never run under two run
// numbers at the same time.
func (f *facts) checkGangRuns() []Violation {
	var found []Violation
	for _, taskRun := range f.runs {
		step := f.commonOutcomeStep(taskRun.name)
		if step == nil {
			continue
		}
		f.forEachMember(taskRun.name.Job, step, func(other run) {
			if other.Run.Run < taskRun.Run.Run && other.Mono < taskRun.Mono && other.endedBy > taskRun.Mono {
				text := fmt.Sprintf("run %d started while %s went on as run %d", taskRun.Run.Run, other.Task, other.Run.Run)
				found = append(found, Violation{P9, taskRun.Task, text, []monoclock.Nanos{taskRun.Mono, other.Mono, other.endedBy}})
			}
		})
	}
	return found
}

// checkGangStarts (P9): within 5 s of the start of a gang member's run, the other
// members have started or that run has ended.
func (f *facts) checkGangStarts() []Violation {
	var found []Violation
	for _, taskRun := range f.runs {
		job := f.jobs[taskRun.name.Job]
		step := job.step(taskRun.name.Step)
		deadline := taskRun.Mono.Add(gangStartBound)
		if !step.Together || taskRun.endedBy <= deadline {
			continue
		}
		for name := range eventlog.TaskNames(job.id, step) {
			other := name.String()
			runs := f.byTask[other]
			if len(runs) == 0 || runs[0].Mono > deadline {
				found = append(found, Violation{P9, taskRun.Task, "ran alone: " + other + " did not start", []monoclock.Nanos{taskRun.Mono, taskRun.endedBy}})
				break
			}
		}
	}
	return found
}
