package replica

import (
	"context"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/storage"
)

// identityServer answers queries for this replica's member data, whether its store is
// empty, the membership that it proposes or is part of, and the leader that it knows.
type identityServer struct {
	self      *localMember
	store     storage.Store
	published *published
	bootstrap *bootstrapState
}

func (s *identityServer) serveIdentity(context.Context, protocol.Empty) (protocol.IdentityAnswer, error) {
	return s.identity(), nil
}

func (s *identityServer) identity() protocol.IdentityAnswer {
	s.bootstrap.mutex.Lock()
	defer s.bootstrap.mutex.Unlock()
	answer := protocol.IdentityAnswer{
		Member:            s.self.member(),
		Empty:             s.store.Empty(),
		Bootstrapping:     s.bootstrap.inProgress,
		Membership:        s.bootstrap.proposal,
		InitialMembership: s.bootstrap.created,
	}
	if s.bootstrap.inProgress && !answer.Empty {
		// The first snapshot is being saved, which may still fail. Until the save has
		// succeeded, the answer stays the same as before.
		answer.Empty = true
	}
	if s.published.running.Load() {
		answer.Membership = s.published.status.Load().Membership
		if leader, known := s.published.leader(); known {
			answer.LeaderAddress = leader.Address
		}
	}
	return answer
}
