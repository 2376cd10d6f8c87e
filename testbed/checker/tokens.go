package checker

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkTokens (P12): nothing starts under a fencing token when a higher one had been in
// use for longer than a lease.
func (f *facts) checkTokens() []Violation {
	type step struct {
		token uint64
		since monoclock.Nanos
	}
	var raised []step
	var found []Violation
	for _, line := range f.input.Events {
		for _, earlier := range raised {
			if line.Kind == eventlog.KindStart && earlier.token > line.Token && line.Mono > earlier.since.Add(f.schedulerLease()) {
				text := fmt.Sprintf("started under token %d although %d was in use", line.Token, earlier.token)
				found = append(found, Violation{P12, line.Task, text, []monoclock.Nanos{line.Mono, earlier.since}})
				break
			}
		}
		if len(raised) == 0 || line.Token > raised[len(raised)-1].token {
			raised = append(raised, step{line.Token, line.Mono})
		}
	}
	return found
}

// staleOrderSlack is how long an assignment under the previous token may still be in
// flight when a new one is first used.
const staleOrderSlack = time.Second

// checkResumedSchedulers (P12): after a scheduler was frozen for 20 s or more, nothing
// starts under a token other than the highest one in use when it resumed.
func (f *facts) checkResumedSchedulers() []Violation {
	var found []Violation
	for _, scheduler := range f.input.Schedulers {
		for _, frozen := range f.spansWhere(func(n *network) bool { return n.frozen[scheduler] }) {
			if frozen.to.Sub(frozen.from) >= longFreezeBound {
				found = append(found, f.checkResumed(scheduler, frozen)...)
			}
		}
	}
	return found
}

func (f *facts) checkResumed(scheduler string, frozen span) []Violation {
	var inUse uint64
	var found []Violation
	for _, line := range f.input.Events {
		switch {
		case line.Mono <= frozen.to.Add(-staleOrderSlack):
			inUse = max(inUse, line.Token)
		case line.Kind == eventlog.KindStart && line.Mono > frozen.to && line.Token < inUse:
			text := fmt.Sprintf("started under token %d after %s resumed, although %d was in use", line.Token, scheduler, inUse)
			found = append(found, Violation{P12, line.Task, text, []monoclock.Nanos{line.Mono, frozen.to}})
		}
	}
	return found
}
