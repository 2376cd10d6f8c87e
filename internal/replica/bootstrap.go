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
	// bootstrapLogInterval is the minimum time between log lines with the reason for
	// waiting.
	bootstrapLogInterval = 5 * time.Second
	// bootstrapIndex and bootstrapTerm identify the snapshot from which every initial
	// member of a cluster starts.
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// bootstrapState is the bootstrap progress that this replica reports to other replicas.
// The bootstrapper and Replica.restore write it; identityServer reads it.
type bootstrapState struct {
	mutex sync.Mutex // guards all fields below
	// inProgress is true while the replica takes part in creating a cluster.
	inProgress bool
	// proposal is the membership that this replica proposes; empty before its first
	// proposal.
	proposal raft.Membership
	// created is the membership of the cluster's first snapshot. It is nil if this
	// replica joined an existing cluster, or restarted from a newer snapshot.
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

// end records that the bootstrap is over. created is nil if the replica joins an existing
// cluster.
func (s *bootstrapState) end(created *raft.Membership) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inProgress = false
	s.created = created
}

// bootstrapper creates a new cluster together with the other seeds, or detects an
// existing cluster to join.
type bootstrapper struct {
	self     raft.ReplicaID
	joinOnly bool
	store    storage.Store
	record   *record.Machine
	seeds    *seedDirectory
	state    *bootstrapState
	logger   *slog.Logger
}

// run returns once the store holds the first snapshot of a new cluster, or once there is
// a cluster to join. Exactly one cluster is created, as follows:
//
//  1. An empty replica queries every seed. Once every seed answers, is empty and takes
//     part in the bootstrap, the replica proposes all seeds, sorted by id, as the
//     membership.
//  2. The replica creates the cluster only once every seed answers with the same
//     proposal: it persists the first snapshot, and reports itself as not empty only
//     after that.
//  3. A replica that finds a seed that is no longer empty starts from the initial
//     membership of that seed if the membership lists the replica's own id. Otherwise
//     it joins the cluster.
//
// Unless the list of seeds or the zone of a member changes, a proposal changes only when
// a seed answers with another id, that is, after the seed lost its disk. A replica that
// has changed its proposal does not return to the earlier one, because a member of the
// earlier one no longer exists. Two memberships can therefore not both be created while
// all replica ids of either one exist. A member that lost its disk returns with a new id:
// if another member has created the cluster, the returning one finds it not empty and
// joins; if no member has, all of them propose again. A seed that does not answer may
// have created the cluster, so the other seeds wait for it.
//
// A replica with Config.JoinOnly takes no part in the bootstrap: it waits until a seed
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

// create persists the first snapshot, and only then reports the new cluster to other
// replicas.
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
