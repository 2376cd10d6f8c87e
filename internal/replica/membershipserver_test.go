package replica

import (
	"errors"
	"testing"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// TestMembershipServer_RejectsBeforeReachingLoop checks that join requests with incomplete
// member data, and all requests to a leader without a lease, are rejected without a call to
// the loop, which does not run in this test.
func TestMembershipServer_RejectsBeforeReachingLoop(t *testing.T) {
	s := &membershipServer{published: newTestPublished(t), mailbox: newMailbox()}
	s.published.update(raft.Status{Role: raft.RoleLeader, Term: 3, TermReady: true}) // leader whose lease has expired
	for name, c := range map[string]struct {
		member raft.Member
		want   rpc.Code
	}{
		"without name":           {raft.Member{ID: "n", Address: "address-n"}, rpc.CodeBadRequest},
		"without address":        {raft.Member{ID: "n", Name: "name-n"}, rpc.CodeBadRequest},
		"leader without a lease": {member("n"), rpc.CodeNotLeader},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := s.serveJoin(t.Context(), protocol.JoinRequest{Member: c.member}); !errors.Is(err, &rpc.Error{Code: c.want}) {
				t.Errorf("join: got error %v, want %s", err, c.want)
			}
		})
	}
	if _, err := s.serveRetire(t.Context(), protocol.RetireRequest{ID: "b"}); !errors.Is(err, &rpc.Error{Code: rpc.CodeNotLeader}) {
		t.Errorf("retire: got error %v, want %s", err, rpc.CodeNotLeader)
	}
}
