package replica

import (
	"testing"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// newTestIdentityServer is that of the replica a, at the address of member("a").
func newTestIdentityServer(t *testing.T) *identityServer {
	t.Helper()
	return &identityServer{
		self:      newLocalMember("a", Config{Name: "name-a", Address: "address-a"}),
		store:     storage.NewMemory(1),
		published: newTestPublished(t),
		bootstrap: &bootstrapState{},
	}
}

// TestIdentity_EmptyUntilClusterIsCreated: while the first snapshot is saved, the store is
// not empty any more, but the save may still fail.
func TestIdentity_EmptyUntilClusterIsCreated(t *testing.T) {
	s := newTestIdentityServer(t)
	membership := members("a", "b")
	s.bootstrap.begin()
	s.bootstrap.propose(membership)
	if err := s.store.Save(&raft.HardState{Term: 1}, nil, true); err != nil || s.store.Empty() {
		t.Fatalf("empty %v after a save, %v", s.store.Empty(), err)
	}
	if got := s.identity(); !got.Empty || !got.Bootstrapping || got.InitialMembership != nil || !sameMembership(got.Membership, membership) {
		t.Errorf("during the bootstrap: %+v", got)
	}
	s.bootstrap.end(&membership)
	if got := s.identity(); got.Empty || got.Bootstrapping || got.InitialMembership == nil {
		t.Errorf("after the bootstrap: %+v", got)
	}
}

func TestIdentity_KnowsLeaderOnceRunning(t *testing.T) {
	s := newTestIdentityServer(t)
	s.published.update(raft.Status{ID: "a", Leader: "b", Membership: members("a", "b")})
	if got := s.identity(); got.LeaderAddress != "" {
		t.Errorf("leader %q before the node runs", got.LeaderAddress)
	}
	s.published.running.Store(true)
	if got := s.identity(); got.LeaderAddress != "address-b" || len(got.Membership.Voters) != 2 {
		t.Errorf("leader %q, membership %+v", got.LeaderAddress, got.Membership)
	}
}
