package transport

import (
	"errors"
	"log/slog"
	"testing"

	"github.com/decklever/decklever/internal/raft"
)

// newTestPeer queues only: its goroutines are not started.
func newTestPeer(t *testing.T) *peer {
	t.Helper()
	return newPeer(t.Context(), Config{Logger: slog.New(slog.DiscardHandler)}, member("b"))
}

func TestPeer_NewRoundOvertakesQueuedAppends(t *testing.T) {
	p := newTestPeer(t)
	appendOf := func(round uint64) raft.Message {
		return raft.Message{
			Kind: raft.MessageAppend, From: "a", To: "b", Term: 3, Round: round,
			Entries: []raft.Entry{{Index: 7, Term: 3}}, Index: 6, LogTerm: 3,
		}
	}
	p.send(appendOf(1))
	if len(p.appends.messages) != 1 || len(p.urgent.messages) != 0 {
		t.Fatalf("%d appends, %d urgent; want 1, none", len(p.appends.messages), len(p.urgent.messages))
	}
	p.send(appendOf(2))
	p.send(appendOf(2)) // of a round that is out already
	if len(p.appends.messages) != 3 || len(p.urgent.messages) != 1 {
		t.Fatalf("%d appends, %d urgent; want 3, 1", len(p.appends.messages), len(p.urgent.messages))
	}
	heartbeat := p.urgent.messages[0]
	if heartbeat.Kind != raft.MessageAppend || heartbeat.Round != 2 || heartbeat.Term != 3 || heartbeat.To != "b" {
		t.Errorf("urgent message %+v, want a heartbeat of round 2", heartbeat)
	}
	if len(heartbeat.Entries) != 0 || heartbeat.Index != 0 || heartbeat.LogTerm != 0 {
		t.Errorf("the heartbeat has an offset in the log: %+v", heartbeat)
	}
}

func TestPeer_OtherMessagesAreUrgent(t *testing.T) {
	p := newTestPeer(t)
	for _, kind := range []raft.MessageKind{raft.MessageVote, raft.MessageAppendResponse} {
		p.send(raft.Message{Kind: kind})
	}
	if len(p.appends.messages) != 0 || len(p.urgent.messages) != 2 {
		t.Errorf("%d appends, %d urgent; want none, 2", len(p.appends.messages), len(p.urgent.messages))
	}
}

func TestPeer_ReachabilityFollowsNewestCall(t *testing.T) {
	p := newTestPeer(t)
	for _, err := range []error{nil, errors.New("connection refused"), nil} {
		p.recordReachability(err)
		if got := p.unreachable.Load(); got != (err != nil) {
			t.Errorf("after %v: unreachable %v", err, got)
		}
	}
	p.stop()
	p.recordReachability(errors.New("connection refused"))
	if p.unreachable.Load() {
		t.Error("a call that ended with the peer makes the replica unreachable")
	}
}
