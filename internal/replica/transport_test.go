package replica

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"github.com/decklever/decklever/internal/raft"
)

func TestTransport_HangingPeerDelaysNoCommit(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	token := leader.replica.Status().Term
	without(machines, leader)[0].hangs.Store(true)
	data := make([]byte, 256<<10) // many of them fill the queue to the hanging peer
	for i := range 60 {
		command := registration(fmt.Sprintf("worker-%03d", i))
		command.RegisterWorkers.Workers[0].Zone = string(data)
		if _, err := leader.replica.Propose(t.Context(), token, command); err != nil {
			t.Fatalf("command %d: %v", i, err)
		}
	}
	if !leader.replica.HoldsLease(token) {
		t.Fatal("the lease was lost")
	}
	without(machines, leader)[0].hangs.Store(false)
	if got := len(workerNames(t, without(machines, leader)[0])); got != 60 {
		t.Fatalf("the peer caught up to %d workers, want 60", got)
	}
}

// newTestTransport sends to nobody: its client is never used as no message is sent.
func newTestTransport(t *testing.T) *transport {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	background := &backgroundTasks{}
	t.Cleanup(func() {
		cancel()
		background.wait()
	})
	return newTransport(ctx, transportConfig{
		self:       newLocalMember("self", Config{Name: "self", Address: "address-self"}),
		logger:     slog.New(slog.DiscardHandler),
		background: background,
	})
}

func TestTransport_PeersFollowMembership(t *testing.T) {
	transport := newTestTransport(t)
	transport.observeSender(member("c"))
	if transport.nonMembers["c"] == nil || transport.members["c"] != nil {
		t.Fatal("a sender outside of the membership cannot be answered")
	}
	transport.setMembers(members("self", "a", "b", "c"))
	if len(transport.members) != 3 || len(transport.nonMembers) != 0 {
		t.Errorf("%d members, %d others; want 3, none", len(transport.members), len(transport.nonMembers))
	}
	kept, moved, removed := transport.members["a"], transport.members["b"], transport.members["c"]
	changed := members("self", "a", "b")
	changed.Voters[2].Address = "elsewhere"
	transport.setMembers(changed)
	if transport.members["a"] != kept || kept.ctx.Err() != nil {
		t.Error("an unchanged member got another peer")
	}
	if transport.members["b"] == moved || moved.ctx.Err() == nil {
		t.Error("a member that moved kept its peer")
	}
	if transport.members["c"] != nil || removed.ctx.Err() == nil {
		t.Error("a removed member kept its peer")
	}
}

func TestTransport_NonMembersAreBounded(t *testing.T) {
	transport := newTestTransport(t)
	for i := range maxNonMembers + 1 {
		transport.observeSender(member(fmt.Sprint(i)))
	}
	if len(transport.nonMembers) != maxNonMembers || transport.nonMembers["0"] != nil {
		t.Errorf("%d non-members with the oldest: %v; want %d without", len(transport.nonMembers), transport.nonMembers["0"] != nil, maxNonMembers)
	}
	transport.observeSender(member("self"))
	transport.observeSender(raft.Member{})
	if len(transport.nonMembers) != maxNonMembers {
		t.Errorf("%d non-members after senders without one", len(transport.nonMembers))
	}
}

func TestTransport_ReachesQuorum(t *testing.T) {
	cases := map[string]struct {
		voters      []string
		unreachable []string
		want        bool
	}{
		"all of three":      {[]string{"self", "a", "b"}, nil, true},
		"one of two others": {[]string{"self", "a", "b"}, []string{"a"}, true},
		"nobody":            {[]string{"self", "a", "b"}, []string{"a", "b"}, false},
		"one of four":       {[]string{"self", "a", "b", "c", "d"}, []string{"a", "b", "c"}, false},
		"alone":             {[]string{"self"}, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			transport := newTestTransport(t)
			membership := members(c.voters...)
			transport.setMembers(membership)
			for _, id := range c.unreachable {
				transport.members[raft.ReplicaID(id)].unreachable.Store(true)
			}
			if got := transport.reachesQuorum(membership.Voters); got != c.want {
				t.Errorf("reaches a quorum: %v, want %v", got, c.want)
			}
		})
	}
}
