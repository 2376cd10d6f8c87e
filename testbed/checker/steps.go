package checker

import (
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkStepOrder (P4): no task starts before all tasks of the steps that its step waits
// for have succeeded.
func (f *facts) checkStepOrder() []Violation {
	firstSuccess := f.firstSuccesses()
	var found []Violation
	for _, one := range f.runs {
		job := f.jobs[one.name.Job]
		for _, before := range job.step(one.name.Step).After {
			if violation := f.checkAfter(one, job, before, firstSuccess); violation != nil {
				found = append(found, *violation)
			}
		}
	}
	return found
}

func (f *facts) checkAfter(one run, job *jobFacts, before string, firstSuccess map[string]monoclock.Nanos) *Violation {
	step := job.step(before)
	if step == nil {
		return nil
	}
	for name := range eventlog.TaskNames(job.id, step) {
		earlier := name.String()
		success := firstSuccess[earlier]
		if step.Lockstep {
			success = f.gangSuccess(job.id, step)
		}
		if success == 0 || success > one.Mono {
			return &Violation{P4, one.Task, "started before " + earlier + " had succeeded", []monoclock.Nanos{one.Mono, success}}
		}
	}
	return nil
}

func (f *facts) firstSuccesses() map[string]monoclock.Nanos {
	first := map[string]monoclock.Nanos{}
	for _, one := range f.runs {
		if one.Outcome != api.OutcomeSucceeded {
			continue
		}
		if known, found := first[one.Task]; !found || one.End < known {
			first[one.Task] = one.End
		}
	}
	return first
}

// checkNotBefore (P4): no timed task starts over 250 ms early.
func (f *facts) checkNotBefore() []Violation {
	var found []Violation
	for _, one := range f.runs {
		notBefore := f.jobs[one.name.Job].step(one.name.Step).NotBefore
		if notBefore == nil {
			continue
		}
		earliest := f.input.Anchor.At(*notBefore)
		if one.Mono < earliest.Add(-earlyStartBound) {
			found = append(found, Violation{P4, one.Task, fmt.Sprintf("started %v early", earliest.Sub(one.Mono)), []monoclock.Nanos{one.Mono, earliest}})
		}
	}
	return found
}
