package checker

import (
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// lockstep returns the step of a task if its tasks are one group for their
// whole life, or nil.
func (f *facts) lockstep(name eventlog.TaskName) *api.StepSpec {
	step := f.jobs[name.Job].step(name.Step)
	if step == nil || !step.Lockstep {
		return nil
	}
	return step
}

// eachMember visits the runs of all members of a step.
func (f *facts) eachMember(job string, step *api.StepSpec, visit func(run)) {
	for member := range eventlog.TaskNames(job, step) {
		for _, one := range f.byTask[member.String()] {
			visit(one)
		}
	}
}

// groupSuccess returns the first success of any member of a group in lockstep,
// which is the success of all; 0 if there is none.
func (f *facts) groupSuccess(job string, step *api.StepSpec) monoclock.Nanos {
	var first monoclock.Nanos
	f.eachMember(job, step, func(one run) {
		if one.End != 0 && one.Outcome == api.OutcomeSucceeded && (first == 0 || one.End < first) {
			first = one.End
		}
	})
	return first
}

// groupSucceededWith reports whether a task's group has succeeded in a run in
// which the task took part.
func (f *facts) groupSucceededWith(task string) bool {
	name, err := eventlog.ParseTask(task)
	if err != nil || f.lockstep(name) == nil {
		return false
	}
	took := map[uint32]bool{}
	for _, one := range f.byTask[task] {
		took[one.Run.Run] = true
	}
	succeeded := false
	f.eachMember(name.Job, f.lockstep(name), func(one run) {
		succeeded = succeeded || one.End != 0 && one.Outcome == api.OutcomeSucceeded && took[one.Run.Run]
	})
	return succeeded
}

// groupFailures counts the runs of a task's group in lockstep in which any member
// failed; 0 for other tasks.
func (f *facts) groupFailures(name eventlog.TaskName) int {
	step := f.lockstep(name)
	if step == nil {
		return 0
	}
	failed := map[uint32]bool{}
	f.eachMember(name.Job, step, func(one run) {
		if one.Outcome == api.OutcomeFailed {
			failed[one.Run.Run] = true
		}
	})
	return len(failed)
}

// groupSucceededBy reports whether the run's group had succeeded at a time.
func (f *facts) groupSucceededBy(one run, at monoclock.Nanos) bool {
	step := f.lockstep(one.name)
	if step == nil {
		return false
	}
	success := f.groupSuccess(one.name.Job, step)
	return success != 0 && success <= at
}

// checkGroupRestarts (P1): no member of a group in lockstep starts after another
// one's success that must have been acknowledged.
func (f *facts) checkGroupRestarts() []Violation {
	var found []Violation
	for _, one := range f.runs {
		step := f.lockstep(one.name)
		if step == nil || f.untilCancelled(one.name) {
			continue
		}
		var success monoclock.Nanos
		f.eachMember(one.name.Job, step, func(other run) {
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

// checkGroupRuns (P9): members of a group in lockstep never run under two
// numbers at once.
func (f *facts) checkGroupRuns() []Violation {
	var found []Violation
	for _, one := range f.runs {
		step := f.lockstep(one.name)
		if step == nil {
			continue
		}
		f.eachMember(one.name.Job, step, func(other run) {
			if other.Run.Run < one.Run.Run && other.Mono < one.Mono && other.over > one.Mono {
				text := fmt.Sprintf("run %d started while %s went on as run %d", one.Run.Run, other.Task, other.Run.Run)
				found = append(found, Violation{P9, one.Task, text, []monoclock.Nanos{one.Mono, other.Mono, other.over}})
			}
		})
	}
	return found
}
