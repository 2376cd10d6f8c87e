package checker

import (
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// commonOutcomeStep returns the step of a task if its tasks are a gang with a common
// outcome, or nil.
func (f *facts) commonOutcomeStep(name eventlog.TaskName) *api.StepSpec {
	step := f.jobs[name.Job].step(name.Step)
	if step == nil || !step.Lockstep {
		return nil
	}
	return step
}

// forEachMember visits the runs of all members of a step.
func (f *facts) forEachMember(job string, step *api.StepSpec, visit func(run)) {
	for member := range eventlog.TaskNames(job, step) {
		for _, one := range f.byTask[member.String()] {
			visit(one)
		}
	}
}

// gangSuccess returns the first success of any member of a gang with a common outcome,
// which is the success of all; 0 if there is none.
func (f *facts) gangSuccess(job string, step *api.StepSpec) monoclock.Nanos {
	var first monoclock.Nanos
	f.forEachMember(job, step, func(one run) {
		if one.End != 0 && one.Outcome == api.OutcomeSucceeded && (first == 0 || one.End < first) {
			first = one.End
		}
	})
	return first
}

// gangSucceededWith reports whether a task's gang succeeded in a run in which the task
// took part.
func (f *facts) gangSucceededWith(task string) bool {
	name, err := eventlog.ParseTask(task)
	if err != nil || f.commonOutcomeStep(name) == nil {
		return false
	}
	took := map[uint32]bool{}
	for _, one := range f.byTask[task] {
		took[one.Run.Run] = true
	}
	succeeded := false
	f.forEachMember(name.Job, f.commonOutcomeStep(name), func(one run) {
		succeeded = succeeded || one.End != 0 && one.Outcome == api.OutcomeSucceeded && took[one.Run.Run]
	})
	return succeeded
}

// gangFailures counts the runs of a task's gang in which any member failed; 0 for tasks
// without a common outcome.
func (f *facts) gangFailures(name eventlog.TaskName) int {
	step := f.commonOutcomeStep(name)
	if step == nil {
		return 0
	}
	failed := map[uint32]bool{}
	f.forEachMember(name.Job, step, func(one run) {
		if one.Outcome == api.OutcomeFailed {
			failed[one.Run.Run] = true
		}
	})
	return len(failed)
}

// gangSucceededBy reports whether the run's gang had succeeded by a time.
func (f *facts) gangSucceededBy(one run, at monoclock.Nanos) bool {
	step := f.commonOutcomeStep(one.name)
	if step == nil {
		return false
	}
	success := f.gangSuccess(one.name.Job, step)
	return success != 0 && success <= at
}

// checkGangRestarts (P1): no member of a gang with a common outcome starts after a
// success of another member that must have been acknowledged.
func (f *facts) checkGangRestarts() []Violation {
	var found []Violation
	for _, one := range f.runs {
		step := f.commonOutcomeStep(one.name)
		if step == nil || f.untilCancelled(one.name) {
			continue
		}
		var success monoclock.Nanos
		f.forEachMember(one.name.Job, step, func(other run) {
			done := other.End != 0 && other.Outcome == api.OutcomeSucceeded && other.Run.Run < one.Run.Run
			if done && other.End < one.Mono && !f.disturbed(other, other.End) {
				success = other.End
			}
		})
		if success != 0 {
			found = append(found, Violation{P1, one.Task, "started after a member of its group had succeeded on an undisturbed worker", []monoclock.Nanos{one.Mono, success}})
		}
	}
	return found
}

// checkGangRuns (P9): members of a gang with a common outcome never run under two run
// numbers at once.
func (f *facts) checkGangRuns() []Violation {
	var found []Violation
	for _, one := range f.runs {
		step := f.commonOutcomeStep(one.name)
		if step == nil {
			continue
		}
		f.forEachMember(one.name.Job, step, func(other run) {
			if other.Run.Run < one.Run.Run && other.Mono < one.Mono && other.endedBy > one.Mono {
				text := fmt.Sprintf("run %d started while %s went on as run %d", one.Run.Run, other.Task, other.Run.Run)
				found = append(found, Violation{P9, one.Task, text, []monoclock.Nanos{one.Mono, other.Mono, other.endedBy}})
			}
		})
	}
	return found
}

// checkGangStarts (P9): once a member of a gang runs, the others start within 5 s or
// the member is stopped.
func (f *facts) checkGangStarts() []Violation {
	var found []Violation
	for _, one := range f.runs {
		job := f.jobs[one.name.Job]
		step := job.step(one.name.Step)
		deadline := one.Mono.Add(gangStartBound)
		if !step.Together || one.endedBy <= deadline {
			continue
		}
		for name := range eventlog.TaskNames(job.id, step) {
			other := name.String()
			runs := f.byTask[other]
			if len(runs) == 0 || runs[0].Mono > deadline {
				found = append(found, Violation{P9, one.Task, "ran alone: " + other + " did not start", []monoclock.Nanos{one.Mono, one.endedBy}})
				break
			}
		}
	}
	return found
}
