package replica

import (
	"context"
	"log/slog"
	"time"
)

// leadReturnGrace is how long Config.Lead may take to return, once its context is
// canceled, before a warning is logged.
const leadReturnGrace = time.Second

// leaderTerm tracks the current term of this replica as leader, and the goroutine that
// runs Lead for this or an earlier term; at most one such goroutine runs at a time.
// leaderTerm is owned by the loop goroutine.
type leaderTerm struct {
	lead       func(Leadership)
	background *backgroundTasks
	logger     *slog.Logger

	// leading is true while the node is leader in term.
	leading bool
	term    uint64
	// readyIndex is the commit index when the first entry of the term had been committed;
	// 0 until then. Once it is applied, the record reflects all earlier terms.
	readyIndex uint64
	// started is true once Lead has been called in this term.
	started bool

	// cancel cancels the context of the newest Lead; nil if that was canceled or Lead has
	// returned.
	cancel context.CancelFunc
	// done is closed when the newest Lead has returned; nil if none runs.
	done chan struct{}
	// endedAt is the monotonic time at which the newest Lead was canceled.
	endedAt time.Duration
	// warned is true once a warning was logged that the canceled Lead has not returned.
	warned bool
}

// begin records that the node has become leader in term.
func (t *leaderTerm) begin(term uint64) {
	t.leading, t.term = true, term
	t.readyIndex, t.started = 0, false
}

// end records that the node no longer leads in the term, and cancels Lead.
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

// canStart reports whether the record, applied up to index applied, reflects everything
// that earlier terms acknowledged, and Lead was not yet called in this term. The caller
// also has to check the lease and that the Lead of an earlier term has returned.
func (t *leaderTerm) canStart(applied uint64) bool {
	return t.leading && !t.started && t.readyIndex != 0 && applied >= t.readyIndex
}

// start calls Lead in a new goroutine.
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

// previousLeadReturned reports whether no Lead is running. It logs one warning if a
// canceled Lead has not returned within leadReturnGrace.
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
		t.logger.Warn("leader work of an ended term has not stopped", "after", now-t.endedAt)
	}
	return false
}

// waitForLead waits until the newest Lead has returned. It is called when the loop has
// ended.
func (t *leaderTerm) waitForLead() {
	if t.done != nil {
		<-t.done
	}
}
