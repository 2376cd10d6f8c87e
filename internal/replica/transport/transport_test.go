package transport

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"github.com/decklever/decklever/internal/raft"
)

// newTestTransport returns a transport without a client, for tests that send no messages.
func newTestTransport(t *testing.T) *Transport {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return New(ctx, Config{
		ID:     "self",
		Self:   func() raft.Member { return member("self") },
		Logger: slog.New(slog.DiscardHandler),
		Go:     running.Go,
	})
}

func TestTransport_PeersFollowMembership(t *testing.T) {
	transport := newTestTransport(t)
	transport.ObserveSender(member("c"))
	if transport.nonMembers["c"] == nil || transport.members["c"] != nil {
		t.Fatal("sender outside the membership: want a peer in nonMembers only")
	}
	transport.SetMembers(members("self", "a", "b", "c"))
	if len(transport.members) != 3 || len(transport.nonMembers) != 0 {
		t.Errorf("got %d members, %d non-members; want 3, 0", len(transport.members), len(transport.nonMembers))
	}
	kept, moved, removed := transport.members["a"], transport.members["b"], transport.members["c"]
	changed := members("self", "a", "b")
	changed.Voters[2].Address = "elsewhere"
	transport.SetMembers(changed)
	if transport.members["a"] != kept || kept.ctx.Err() != nil {
		t.Error("unchanged member: its peer was replaced or stopped")
	}
	if transport.members["b"] == moved || moved.ctx.Err() == nil {
		t.Error("member with a new address: its peer was kept or not stopped")
	}
	if transport.members["c"] != nil || removed.ctx.Err() == nil {
		t.Error("removed member: its peer was kept or not stopped")
	}
}

func TestTransport_NonMembersAreBounded(t *testing.T) {
	transport := newTestTransport(t)
	for i := range maxNonMembers + 1 {
		transport.ObserveSender(member(fmt.Sprint(i)))
	}
	if len(transport.nonMembers) != maxNonMembers || transport.nonMembers["0"] != nil {
		t.Errorf("got %d non-members, oldest kept: %v; want %d, false", len(transport.nonMembers), transport.nonMembers["0"] != nil, maxNonMembers)
	}
	transport.ObserveSender(member("self"))
	transport.ObserveSender(raft.Member{})
	if len(transport.nonMembers) != maxNonMembers {
		t.Errorf("got %d non-members after senders that need no peer, want no change", len(transport.nonMembers))
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
			transport.SetMembers(membership)
			for _, id := range c.unreachable {
				transport.members[raft.ReplicaID(id)].unreachable.Store(true)
			}
			if got := transport.ReachesQuorum(membership.Voters); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
