package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/wait"
)

const (
	// formationInterval is how often seeds are asked.
	formationInterval = 200 * time.Millisecond
	// waitLogInterval is how often what is missing is logged.
	waitLogInterval = 5 * time.Second
	// foundingIndex and foundingTerm name the snapshot that every founder
	// begins with.
	foundingIndex = 1
	foundingTerm  = 1
)

// formationState is what Identity answers about a replica that has not started
// its node, and the founding membership after it has.
type formationState struct {
	mutex    sync.Mutex
	waiting  bool
	proposal raft.Membership
	founded  *raft.Membership
}

// form returns once the store holds the start of a new cluster, or once there
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
func (r *Replica) form(ctx context.Context) error {
	if !r.config.JoinOnly {
		r.formation.begin()
	}
	lastLog := r.start.Add(-waitLogInterval)
	for {
		decision := r.decideFormation(replicasOf(r.askSeeds(ctx)))
		switch decision.action {
		case formationFound:
			return r.found(decision.membership)
		case formationJoin:
			r.formation.end(nil)
			r.logger.Info("joins a cluster")
			return nil
		case formationPropose:
			r.formation.propose(decision.membership)
		case formationWait:
			if time.Since(lastLog) >= waitLogInterval {
				lastLog = time.Now()
				r.logger.Info("waits to form a cluster", "missing", decision.missing)
			}
		}
		if !wait.For(ctx, formationInterval) {
			return ctx.Err()
		}
	}
}

func (f *formationState) begin() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.waiting = true
}

func (f *formationState) propose(membership raft.Membership) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.proposal = membership
}

func (f *formationState) end(founded *raft.Membership) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.waiting = false
	f.founded = founded
}

// found persists the founding snapshot and only then lets others see it.
func (r *Replica) found(membership raft.Membership) error {
	_, write, err := r.config.Record.Snapshot()
	if err != nil {
		return fmt.Errorf("found cluster: %w", err)
	}
	meta := raft.SnapshotMeta{Index: foundingIndex, Term: foundingTerm, Membership: membership}
	if err := r.config.Store.SaveSnapshot(meta, 0, write); err != nil {
		return fmt.Errorf("found cluster: %w", err)
	}
	r.formation.end(&membership)
	r.logger.Info("cluster formed", "voters", memberNames(membership.Voters))
	return nil
}

// seedAnswer is what one seed said; err is set if it did not answer.
type seedAnswer struct {
	address string
	answer  fleet.IdentityAnswer
	err     error
}

// askSeeds asks every seed at the same time, itself without the network.
func (r *Replica) askSeeds(ctx context.Context) []seedAnswer {
	seeds := *r.seeds.Load()
	answers := make([]seedAnswer, len(seeds))
	var asked sync.WaitGroup
	for i, seed := range seeds {
		asked.Go(func() { answers[i] = r.askSeed(ctx, seed) })
	}
	asked.Wait()
	return answers
}

// replicasOf leaves out seeds that are no replicas.
func replicasOf(answers []seedAnswer) []seedAnswer {
	return slices.DeleteFunc(answers, func(seed seedAnswer) bool { return seed.err == nil && seed.answer.Relay })
}

func (r *Replica) askSeed(ctx context.Context, seed string) seedAnswer {
	if seed == r.config.Address {
		return seedAnswer{address: seed, answer: r.identity()}
	}
	answer, err := rpc.Call[fleet.Empty, fleet.IdentityAnswer](ctx, r.config.Client, seed, fleet.MethodIdentity, fleet.Empty{})
	return seedAnswer{address: seed, answer: answer, err: err}
}

func (r *Replica) decideFormation(answers []seedAnswer) formationDecision {
	r.formation.mutex.Lock()
	proposal := r.formation.proposal
	r.formation.mutex.Unlock()
	if r.config.JoinOnly {
		return decideJoin(answers)
	}
	return decideFormation(r.self.ID, proposal, answers)
}

func (r *Replica) serveIdentity(context.Context, fleet.Empty) (fleet.IdentityAnswer, error) {
	return r.identity(), nil
}

func (r *Replica) identity() fleet.IdentityAnswer {
	r.formation.mutex.Lock()
	defer r.formation.mutex.Unlock()
	answer := fleet.IdentityAnswer{
		Member:     r.member(),
		Empty:      r.config.Store.Empty(),
		Founder:    r.formation.waiting,
		Membership: r.formation.proposal,
		Founded:    r.formation.founded,
	}
	if r.formation.waiting && !answer.Empty {
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
