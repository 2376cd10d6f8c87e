package transport

import (
	"errors"
	"log/slog"
	"testing"

	"github.com/decklever/decklever/internal/raft"
)

// newTestPeer returns a peer that only queues messages: its goroutines are not started.
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
		t.Fatalf("got %d queued appends, %d urgent messages; want 1, 0", len(p.appends.messages), len(p.urgent.messages))
	}
	p.send(appendOf(2))
	p.send(appendOf(2)) // no second urgent message for round 2
	if len(p.appends.messages) != 3 || len(p.urgent.messages) != 1 {
		t.Fatalf("got %d queued appends, %d urgent messages; want 3, 1", len(p.appends.messages), len(p.urgent.messages))
	}
	heartbeat := p.urgent.messages[0]
	if heartbeat.Kind != raft.MessageAppend || heartbeat.Round != 2 || heartbeat.Term != 3 || heartbeat.To != "b" {
		t.Errorf("got urgent message %+v, want an append of round 2 in term 3 to b", heartbeat)
	}
	if len(heartbeat.Entries) != 0 || heartbeat.Index != 0 || heartbeat.LogTerm != 0 {
		t.Errorf("got heartbeat %+v, want it without entries and log position", heartbeat)
	}
}

func TestPeer_OtherMessagesAreUrgent(t *testing.T) {
	p := newTestPeer(t)
	for _, kind := range []raft.MessageKind{raft.MessageVote, raft.MessageAppendResponse} {
		p.send(raft.Message{Kind: kind})
	}
	if len(p.appends.messages) != 0 || len(p.urgent.messages) != 2 {
		t.Errorf("got %d queued appends, %d urgent messages; want 0, 2", len(p.appends.messages), len(p.urgent.messages))
	}
}

func TestPeer_ReachabilityFollowsNewestCall(t *testing.T) {
	p := newTestPeer(t)
	for _, err := range []error{nil, errors.New("connection refused"), nil} {
		p.recordReachability(err)
		if got := p.unreachable.Load(); got != (err != nil) {
			t.Errorf("after a call with error %v: got unreachable %v", err, got)
		}
	}
	p.stop()
	p.recordReachability(errors.New("connection refused"))
	if p.unreachable.Load() {
		t.Error("call that failed after the peer was stopped marked the replica unreachable")
	}
}
