package checker

import (
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkCancels (P6): no task of a cancelled job starts after 3 s, and its runs have
// ended after 5 s.
func (f *facts) checkCancels() []Violation {
	var found []Violation
	for _, one := range f.runs {
		cancelled := f.jobs[one.name.Job].cancelled
		if cancelled == 0 {
			continue
		}
		if one.Mono > cancelled.Add(cancelStartBound) {
			found = append(found, Violation{P6, one.Task, "started after its job was cancelled", []monoclock.Nanos{one.Mono, cancelled}})
		} else if one.endedBy > cancelled.Add(cancelEndBound) {
			found = append(found, Violation{P6, one.Task, "still ran after its job was cancelled", []monoclock.Nanos{one.endedBy, cancelled}})
		}
	}
	return found
}
