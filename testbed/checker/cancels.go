package checker

import (
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkCancels (P6): no task of a cancelled job starts more than 3 s after the
// cancellation was acknowledged, and its runs have ended 5 s after it.
func (f *facts) checkCancels() []Violation {
	var found []Violation
	for _, taskRun := range f.runs {
		cancelled := f.jobs[taskRun.name.Job].cancelledAt
		if cancelled == 0 {
			continue
		}
		if taskRun.Mono > cancelled.Add(cancelStartBound) {
			found = append(found, Violation{P6, taskRun.Task, "started after its job was cancelled", []monoclock.Nanos{taskRun.Mono, cancelled}})
		} else if taskRun.endedBy > cancelled.Add(cancelEndBound) {
			found = append(found, Violation{P6, taskRun.Task, "still ran after its job was cancelled", []monoclock.Nanos{taskRun.endedBy, cancelled}})
		}
	}
	return found
}
