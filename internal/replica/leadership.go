package replica

import (
	"context"
	"log/slog"
	"time"
)

// leadReturnGrace is how long Config.Lead may take to return without a warning.
const leadReturnGrace = time.Second

// leaderTerm is the current term of this replica as leader, and the Lead goroutine of
// this or an earlier term, of which there is one at most. It belongs to the loop.
type leaderTerm struct {
	lead       func(Leadership)
	background *backgroundTasks
	logger     *slog.Logger

	// leading is true while the node leads in term.
	leading bool
	term    uint64
	// readyIndex is the commit index when the first entry of the term was committed;
	// 0 before. Once it is applied, the record reflects all earlier terms.
	readyIndex uint64
	// started is true once Lead was called in this term.
	started bool

	// cancel ends the newest Lead; nil if it was cancelled or has returned.
	cancel context.CancelFunc
	// done is closed when the newest Lead has returned; nil if none runs.
	done chan struct{}
	// endedAt is when the newest Lead was cancelled, on the monotonic clock.
	endedAt time.Duration
	// warned is true once that it has not returned was logged.
	warned bool
}

// begin records that the node has become leader.
func (t *leaderTerm) begin(term uint64) {
	t.leading, t.term = true, term
	t.readyIndex, t.started = 0, false
}

// end records that the node does not lead in the term any more, and cancels Lead.
func (t *leaderTerm) end(now time.Duration) {
	t.leading = false
	if t.cancel == nil {
		return
	}
	t.cancel()
	t.cancel = nil
	t.endedAt = now
	t.warned = false
}

// canStart reports whether the term may begin to act, up to the lease and the Lead of
// earlier terms: the record reflects all that they acknowledged.
func (t *leaderTerm) canStart(applied uint64) bool {
	return t.leading && !t.started && t.readyIndex != 0 && applied >= t.readyIndex
}

// start calls Lead in a goroutine of its own.
func (t *leaderTerm) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	t.started, t.cancel, t.done = true, cancel, done
	leadership := Leadership{Token: t.term, Context: ctx}
	t.background.run(func() {
		defer close(done)
		t.lead(leadership)
	})
}

// previousLeadReturned reports whether no Lead runs, and warns once of one that does
// not return.
func (t *leaderTerm) previousLeadReturned(now time.Duration) bool {
	if t.done == nil {
		return true
	}
	select {
	case <-t.done:
		if t.cancel != nil {
			t.cancel()
			t.cancel = nil
		}
		t.done = nil
		return true
	default:
	}
	if t.cancel == nil && !t.warned && now-t.endedAt > leadReturnGrace {
		t.warned = true
		t.logger.Warn("leader of an earlier term has not returned", "after", now-t.endedAt)
	}
	return false
}

// waitForLead is called when the loop has ended.
func (t *leaderTerm) waitForLead() {
	if t.done != nil {
		<-t.done
	}
}
