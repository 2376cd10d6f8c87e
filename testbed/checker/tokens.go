package checker

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkTokens (P12): no task starts under a fencing token once a higher token has been
// in use for longer than a scheduler lease.
func (f *facts) checkTokens() []Violation {
	type tokenUse struct {
		token uint64
		since monoclock.Nanos
	}
	var increases []tokenUse
	var found []Violation
	for _, event := range f.input.Events {
		for _, earlier := range increases {
			if event.Kind == eventlog.KindStart && earlier.token > event.Token && event.Mono > earlier.since.Add(f.schedulerLease()) {
				text := fmt.Sprintf("started under token %d although %d was in use", event.Token, earlier.token)
				found = append(found, Violation{P12, event.Task, text, []monoclock.Nanos{event.Mono, earlier.since}})
				break
			}
		}
		if len(increases) == 0 || event.Token > increases[len(increases)-1].token {
			increases = append(increases, tokenUse{event.Token, event.Mono})
		}
	}
	return found
}

// staleAssignmentSlack is how long an assignment under the previous token may still be
// in flight after the first use of a new token.
const staleAssignmentSlack = time.Second

// checkResumedSchedulers (P12): after a scheduler was frozen for 20 s or more, nothing
// starts under a token lower than the highest one in use when the scheduler resumed.
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

// checkResumed reports starts after the end of a freeze under a token lower than the
// highest one in use a staleAssignmentSlack before that end.
func (f *facts) checkResumed(scheduler string, frozen span) []Violation {
	var inUse uint64
	var found []Violation
	for _, event := range f.input.Events {
		switch {
		case event.Mono <= frozen.to.Add(-staleAssignmentSlack):
			inUse = max(inUse, event.Token)
		case event.Kind == eventlog.KindStart && event.Mono > frozen.to && event.Token < inUse:
			text := fmt.Sprintf("started under token %d after %s resumed, although %d was in use", event.Token, scheduler, inUse)
			found = append(found, Violation{P12, event.Task, text, []monoclock.Nanos{event.Mono, frozen.to}})
		}
	}
	return found
}
