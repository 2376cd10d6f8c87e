package replica

import (
	"testing"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// newTestIdentityServer returns the identityServer of replica a, with the name and address
// of member("a").
func newTestIdentityServer(t *testing.T) *identityServer {
	t.Helper()
	return &identityServer{
		self:      newLocalMember("a", Config{Name: "name-a", Address: "address-a"}),
		store:     storage.NewMemory(1),
		published: newTestPublished(t),
		bootstrap: &bootstrapState{},
	}
}

// TestIdentity_EmptyUntilClusterIsCreated guards against a replica that reports itself as
// not empty while the first snapshot is being saved: the store is no longer empty then, but
// the save may still fail.
func TestIdentity_EmptyUntilClusterIsCreated(t *testing.T) {
	s := newTestIdentityServer(t)
	membership := members("a", "b")
	s.bootstrap.begin()
	s.bootstrap.propose(membership)
	if err := s.store.Save(&raft.HardState{Term: 1}, nil, true); err != nil || s.store.Empty() {
		t.Fatalf("after a save: store empty %v, error %v, want false and no error", s.store.Empty(), err)
	}
	if got := s.identity(); !got.Empty || !got.Bootstrapping || got.InitialMembership != nil || !sameMembership(got.Membership, membership) {
		t.Errorf("during the bootstrap: got %+v, want empty, bootstrapping, with the proposal", got)
	}
	s.bootstrap.end(&membership)
	if got := s.identity(); got.Empty || got.Bootstrapping || got.InitialMembership == nil {
		t.Errorf("after the bootstrap: got %+v, want not empty, with the initial membership", got)
	}
}

func TestIdentity_ReportsLeaderOnceRunning(t *testing.T) {
	s := newTestIdentityServer(t)
	s.published.update(raft.Status{ID: "a", Leader: "b", Membership: members("a", "b")})
	if got := s.identity(); got.LeaderAddress != "" {
		t.Errorf("before the node runs: got leader %q, want none", got.LeaderAddress)
	}
	s.published.running.Store(true)
	if got := s.identity(); got.LeaderAddress != "address-b" || len(got.Membership.Voters) != 2 {
		t.Errorf("got leader %q, membership %+v, want address-b and two voters", got.LeaderAddress, got.Membership)
	}
}
