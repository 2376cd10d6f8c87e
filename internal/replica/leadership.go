package replica

import (
	"context"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// leadReturnGrace is how long Lead may take to return without a warning.
const leadReturnGrace = time.Second

// leaderTerm is this replica's present term as leader, and the Lead goroutine of
// this or an earlier term.
type leaderTerm struct {
	// leading: the node leads term. readyIndex is the commit index when the term
	// became ready, 0 before.
	leading    bool
	term       uint64
	readyIndex uint64
	started    bool

	// cancel ends the newest Lead, done is closed when it has returned.
	cancel context.CancelFunc
	done   chan struct{}
	// endedAt is when it was cancelled.
	endedAt time.Duration
	warned  bool
}

// handleRoleChange is called when term, role or leader changed.
func (l *loop) handleRoleChange(before, after *raft.Status) {
	leads := after.Role == raft.RoleLeader
	if l.term.leading && (!leads || after.Term != l.term.term) {
		l.logger.Info("lost leadership", "term", l.term.term, "leader", string(after.Leader))
		l.endTerm()
	}
	if leads && !l.term.leading {
		l.logger.Info("became leader", "term", after.Term, "last_index", after.LastIndex)
		l.term.leading, l.term.term = true, after.Term
		l.term.readyIndex, l.term.started = 0, false
		l.observeClock(l.self.ID, l.config.WallClock().UnixMilli(), l.now())
	}
	if !leads && after.Leader != "" && after.Leader != before.Leader {
		l.logger.Info("follows leader", "term", after.Term, "leader", string(after.Leader))
	}
	if after.TermReady && l.term.readyIndex == 0 {
		l.term.readyIndex = after.Commit
	}
}

// endTerm cancels Lead and ends what waits for this term.
func (l *loop) endTerm() {
	l.pending.fail(ErrOutcomeUnknown)
	l.reads.fail(ErrNotLeader)
	l.term.leading = false
	if l.term.cancel == nil {
		return
	}
	l.term.cancel()
	l.term.cancel = nil
	l.term.endedAt = l.now()
	l.term.warned = false
}

// startLeadIfReady starts Lead once the record holds all of the terms before, the lease
// is held, and the former Lead has returned.
func (l *loop) startLeadIfReady() {
	if !l.previousLeadReturned() {
		return
	}
	if !l.term.leading || l.term.started || l.term.readyIndex == 0 || l.applied.load() < l.term.readyIndex {
		return
	}
	if !l.HoldsLease(l.term.term) {
		return
	}
	l.restartClock()
	ctx, cancel := context.WithCancel(l.ctx)
	done := make(chan struct{})
	l.term.started, l.term.cancel, l.term.done = true, cancel, done
	leadership := Leadership{Token: l.term.term, Context: ctx}
	l.background.Go(func() {
		defer close(done)
		l.config.Lead(leadership)
	})
}

func (l *loop) previousLeadReturned() bool {
	if l.term.done == nil {
		return true
	}
	select {
	case <-l.term.done:
		if l.term.cancel != nil {
			l.term.cancel()
			l.term.cancel = nil
		}
		l.term.done = nil
		return true
	default:
	}
	if l.term.cancel == nil && !l.term.warned && l.now()-l.term.endedAt > leadReturnGrace {
		l.term.warned = true
		l.logger.Warn("the former term's work has not ended", "after", l.now()-l.term.endedAt)
	}
	return false
}

// waitForLead is called when the loop stops.
func (l *loop) waitForLead() {
	if l.term.done != nil {
		<-l.term.done
	}
}
