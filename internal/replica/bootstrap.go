package replica

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

const (
	// bootstrapInterval is how often the seeds are queried.
	bootstrapInterval = 200 * time.Millisecond
	// bootstrapLogInterval is how often the reason for waiting is logged.
	bootstrapLogInterval = 5 * time.Second
	// bootstrapIndex and bootstrapTerm name the snapshot that every first member of
	// a cluster begins with.
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// bootstrapState is what others may know of the bootstrap of this replica: the
// bootstrapper writes it, and identityServer reads it.
type bootstrapState struct {
	mutex sync.Mutex // guards all below
	// inProgress is true while the replica takes part in creating a cluster.
	inProgress bool
	// proposal is the membership that it proposes; empty before the first.
	proposal raft.Membership
	// created is the first membership of the cluster that it created, nil if it
	// created none or its log has grown past that.
	created *raft.Membership
}

func (s *bootstrapState) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inProgress = true
}

func (s *bootstrapState) propose(membership raft.Membership) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proposal = membership
}

func (s *bootstrapState) proposed() raft.Membership {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.proposal
}

func (s *bootstrapState) end(created *raft.Membership) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inProgress = false
	s.created = created
}

// bootstrapper creates a new cluster together with the other seeds, or finds out that
// there is one to join.
type bootstrapper struct {
	self     raft.ReplicaID
	joinOnly bool
	store    storage.Store
	record   *record.Machine
	seeds    *seedDirectory
	state    *bootstrapState
	logger   *slog.Logger
}

// run returns once the store holds the start of a new cluster, or once there is a
// cluster to join. Exactly one cluster is created, as follows:
//
//  1. An empty replica queries every seed. Once all answer, are empty and take part
//     in the bootstrap, it proposes them all, sorted by id, as the membership.
//  2. It creates the cluster only once every one of them answers with the same
//     proposal: it persists the first snapshot, and only from then on answers that it
//     is not empty.
//  3. A replica that finds a seed no longer empty starts from the first membership of
//     that seed if that lists its own id; any other replica joins.
//
// A proposal changes only when a seed answers with another id, that is, after its disk
// was lost; and a replica that proposed again does not go back to the former proposal,
// whose member is gone. So two memberships cannot both be created while all ids of
// either live on. A member that lost its disk returns with a new id: if any other has
// created the cluster, it finds that one not empty and joins; if none has, all propose
// anew. A seed that does not answer may have created it, so everyone waits for it.
//
// A replica that may only join takes part in none of this: it waits until a seed
// belongs to a cluster.
func (b *bootstrapper) run(ctx context.Context) error {
	if !b.joinOnly {
		b.state.begin()
	}
	var lastLog time.Time
	for {
		decision := b.decide(withoutRelays(b.seeds.query(ctx)))
		switch decision.action {
		case bootstrapCreate:
			return b.create(decision.membership)
		case bootstrapJoin:
			b.state.end(nil)
			b.logger.Info("joining a cluster")
			return nil
		case bootstrapPropose:
			b.state.propose(decision.membership)
		case bootstrapWait:
			if time.Since(lastLog) >= bootstrapLogInterval {
				lastLog = time.Now()
				b.logger.Info("waiting to create a cluster", "reason", decision.reason)
			}
		}
		if !contexttime.Sleep(ctx, bootstrapInterval) {
			return ctx.Err()
		}
	}
}

func (b *bootstrapper) decide(responses []seedResponse) bootstrapDecision {
	if b.joinOnly {
		return decideJoin(responses)
	}
	return decideBootstrap(b.self, b.state.proposed(), responses)
}

// create persists the first snapshot, and only then lets others see it.
func (b *bootstrapper) create(membership raft.Membership) error {
	_, write, err := b.record.Snapshot()
	if err != nil {
		return fmt.Errorf("create cluster: %w", err)
	}
	meta := raft.SnapshotMeta{Index: bootstrapIndex, Term: bootstrapTerm, Membership: membership}
	if err := b.store.SaveSnapshot(meta, 0, write); err != nil {
		return fmt.Errorf("create cluster: %w", err)
	}
	b.state.end(&membership)
	b.logger.Info("cluster created", "voters", memberNames(membership.Voters))
	return nil
}
