package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// bootstrapInterval is how often seeds are asked.
	bootstrapInterval = 200 * time.Millisecond
	// bootstrapLogInterval is how often what is missing is logged.
	bootstrapLogInterval = 5 * time.Second
	// bootstrapIndex and bootstrapTerm name the snapshot that every founder
	// begins with.
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// bootstrapState is what Identity answers about a replica that has not started
// its node, and the founding membership after it has.
type bootstrapState struct {
	mutex      sync.Mutex
	inProgress bool
	proposal   raft.Membership
	created    *raft.Membership
}

// bootstrap returns once the store holds the start of a new cluster, or once there
// is a cluster to join. How exactly one cluster forms:
//
//  1. An empty replica asks every seed. Once all answer, are empty and wait to
//     found, it proposes them all, sorted by id, as the membership.
//  2. It founds only once every one of them answers with the same proposal:
//     then it persists the founding snapshot, and from then on answers that it
//     is not empty.
//  3. A founder that finds a seed no longer empty starts from the founding
//     membership if that lists its id; any other replica joins.
//
// A proposal changes only when a seed answers with another id, that is, after
// its disk was lost; and a replica that proposed again does not go back to the
// former one, whose member is gone. So two memberships cannot both be founded
// while all ids of either live on. A founder that lost its disk returns with a
// new id: if any other has founded, it finds that one not empty and joins; if
// none has, all propose anew. A seed that does not answer may have founded, so
// everyone waits for it.
//
// A replica that may only join takes part in none of this: it waits until a
// seed belongs to a cluster.
func (r *Replica) bootstrap(ctx context.Context) error {
	if !r.config.JoinOnly {
		r.bootstrapState.begin()
	}
	lastLog := r.startedAt.Add(-bootstrapLogInterval)
	for {
		decision := r.decideBootstrap(withoutRelays(r.querySeeds(ctx)))
		switch decision.action {
		case bootstrapCreate:
			return r.createCluster(decision.membership)
		case bootstrapJoin:
			r.bootstrapState.end(nil)
			r.logger.Info("joins a cluster")
			return nil
		case bootstrapPropose:
			r.bootstrapState.propose(decision.membership)
		case bootstrapWait:
			if time.Since(lastLog) >= bootstrapLogInterval {
				lastLog = time.Now()
				r.logger.Info("waits to form a cluster", "missing", decision.reason)
			}
		}
		if !contexttime.Sleep(ctx, bootstrapInterval) {
			return ctx.Err()
		}
	}
}

func (f *bootstrapState) begin() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inProgress = true
}

func (f *bootstrapState) propose(membership raft.Membership) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.proposal = membership
}

func (f *bootstrapState) end(founded *raft.Membership) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inProgress = false
	f.created = founded
}

// createCluster persists the founding snapshot and only then lets others see it.
func (r *Replica) createCluster(membership raft.Membership) error {
	_, write, err := r.config.Record.Snapshot()
	if err != nil {
		return fmt.Errorf("found cluster: %w", err)
	}
	meta := raft.SnapshotMeta{Index: bootstrapIndex, Term: bootstrapTerm, Membership: membership}
	if err := r.config.Store.SaveSnapshot(meta, 0, write); err != nil {
		return fmt.Errorf("found cluster: %w", err)
	}
	r.bootstrapState.end(&membership)
	r.logger.Info("cluster formed", "voters", memberNames(membership.Voters))
	return nil
}

// seedResponse is what one seed said; err is set if it did not answer.
type seedResponse struct {
	address  string
	identity protocol.IdentityAnswer
	err      error
}

// querySeeds asks every seed at the same time, itself without the network.
func (r *Replica) querySeeds(ctx context.Context) []seedResponse {
	seeds := *r.seeds.Load()
	answers := make([]seedResponse, len(seeds))
	var asked sync.WaitGroup
	for i, seed := range seeds {
		asked.Go(func() { answers[i] = r.querySeed(ctx, seed) })
	}
	asked.Wait()
	return answers
}

// withoutRelays leaves out seeds that are no replicas.
func withoutRelays(answers []seedResponse) []seedResponse {
	return slices.DeleteFunc(answers, func(seed seedResponse) bool { return seed.err == nil && seed.identity.Relay })
}

func (r *Replica) querySeed(ctx context.Context, seed string) seedResponse {
	if seed == r.config.Address {
		return seedResponse{address: seed, identity: r.identity()}
	}
	answer, err := rpc.Call[protocol.Empty, protocol.IdentityAnswer](ctx, r.config.Client, seed, protocol.MethodIdentity, protocol.Empty{})
	return seedResponse{address: seed, identity: answer, err: err}
}

func (r *Replica) decideBootstrap(answers []seedResponse) bootstrapDecision {
	r.bootstrapState.mutex.Lock()
	proposal := r.bootstrapState.proposal
	r.bootstrapState.mutex.Unlock()
	if r.config.JoinOnly {
		return decideJoin(answers)
	}
	return decideBootstrap(r.self.ID, proposal, answers)
}

func (r *Replica) serveIdentity(context.Context, protocol.Empty) (protocol.IdentityAnswer, error) {
	return r.identity(), nil
}

func (r *Replica) identity() protocol.IdentityAnswer {
	r.bootstrapState.mutex.Lock()
	defer r.bootstrapState.mutex.Unlock()
	answer := protocol.IdentityAnswer{
		Member:            r.member(),
		Empty:             r.config.Store.Empty(),
		Bootstrapping:     r.bootstrapState.inProgress,
		Membership:        r.bootstrapState.proposal,
		InitialMembership: r.bootstrapState.created,
	}
	if r.bootstrapState.inProgress && !answer.Empty {
		// Founding is under way: as long as it is not surely done, others
		// hear what they heard before.
		answer.Empty = true
	}
	if r.running.Load() {
		answer.Membership = r.status.Load().Membership
		if leader, known := r.Leader(); known {
			answer.LeaderAddress = leader.Address
		}
	}
	return answer
}
