package checker

import (
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkStepOrder (P4): a task starts only after all tasks of the steps that its step
// depends on have succeeded.
func (f *facts) checkStepOrder() []Violation {
	firstSuccess := f.firstSuccesses()
	var found []Violation
	for _, taskRun := range f.runs {
		job := f.jobs[taskRun.name.Job]
		for _, prerequisite := range job.step(taskRun.name.Step).After {
			if violation := f.checkAfter(taskRun, job, prerequisite, firstSuccess); violation != nil {
				found = append(found, *violation)
			}
		}
	}
	return found
}

func (f *facts) checkAfter(taskRun run, job *jobFacts, prerequisite string, firstSuccess map[string]monoclock.Nanos) *Violation {
	step := job.step(prerequisite)
	if step == nil {
		return nil
	}
	for name := range eventlog.TaskNames(job.id, step) {
		earlier := name.String()
		success := firstSuccess[earlier]
		if step.Lockstep {
			success = f.gangSuccess(job.id, step)
		}
		if success == 0 || success > taskRun.Mono {
			return &Violation{P4, taskRun.Task, "started before " + earlier + " had succeeded", []monoclock.Nanos{taskRun.Mono, success}}
		}
	}
	return nil
}

func (f *facts) firstSuccesses() map[string]monoclock.Nanos {
	first := map[string]monoclock.Nanos{}
	for _, taskRun := range f.runs {
		if taskRun.Outcome != api.OutcomeSucceeded {
			continue
		}
		if known, found := first[taskRun.Task]; !found || taskRun.End < known {
			first[taskRun.Task] = taskRun.End
		}
	}
	return first
}

// checkNotBefore (P4): no timed task starts more than 250 ms early.
func (f *facts) checkNotBefore() []Violation {
	var found []Violation
	for _, taskRun := range f.runs {
		notBefore := f.jobs[taskRun.name.Job].step(taskRun.name.Step).NotBefore
		if notBefore == nil {
			continue
		}
		earliest := f.input.Anchor.At(*notBefore)
		if taskRun.Mono < earliest.Add(-earlyStartBound) {
			found = append(found, Violation{P4, taskRun.Task, fmt.Sprintf("started %v early", earliest.Sub(taskRun.Mono)), []monoclock.Nanos{taskRun.Mono, earliest}})
		}
	}
	return found
}
