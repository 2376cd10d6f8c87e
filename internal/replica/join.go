package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// joinRetryInterval is how often a replica that is no voter asks to become one.
	joinRetryInterval = 200 * time.Millisecond
	// voterCheckInterval is how often a voter checks that it still is one.
	voterCheckInterval = time.Second
	// replacementCheckDelay is how long a voter hears no leader before it asks the
	// seeds whether it was replaced.
	replacementCheckDelay = 1500 * time.Millisecond
	// maxPromotionLag is how many entries a learner may lack when it is made a voter.
	maxPromotionLag = 100
	// joinLogInterval is how often the leader logs why it keeps a newcomer
	// waiting.
	joinLogInterval = 5 * time.Second
)

// maintainMembership runs as long as the replica does: it asks the leader to take
// this replica in until it is a voter under its present name and address. One
// that stands by goes on asking, more slowly, since a voter may fall silent.
func (r *Replica) maintainMembership(ctx context.Context) {
	lastLed := r.now()
	joining, replaced := false, false
	for {
		interval := voterCheckInterval
		switch {
		case !r.isCurrentVoter() || replaced:
			joining = true
			if !r.requestJoin(ctx) {
				interval = joinRetryInterval
			}
		case joining:
			joining = false
			r.logger.Info("joined", "index", r.applied.load())
		}
		if _, known := r.Leader(); known || !r.isCurrentVoter() {
			lastLed, replaced = r.now(), false
		} else if r.now()-lastLed > replacementCheckDelay {
			lastLed = r.now()
			replaced = r.wasReplaced(ctx)
		}
		if !contexttime.Sleep(ctx, interval) {
			return
		}
	}
}

// isCurrentVoter: the newest membership known here lists this replica as a voter with
// its present name, zone and address.
func (r *Replica) isCurrentVoter() bool {
	return slices.Contains(r.status.Load().Membership.Voters, r.member())
}

// requestJoin copies the archive and asks the leader once; it reports whether the
// replica stands by. The archive goes first: it may take long, and a snapshot
// waits for the rest of it.
func (r *Replica) requestJoin(ctx context.Context) (standby bool) {
	leader, known := r.discoverLeader(ctx)
	if !known {
		return false
	}
	if leader != r.config.Address {
		if err := r.copyArchive(ctx, leader); err != nil {
			r.logger.Warn("archive not copied", "error", err)
			return false
		}
	}
	// Whatever is applied here began with a snapshot, before which the archive
	// was copied.
	request := protocol.JoinRequest{Member: r.member(), ArchiveCopied: r.applied.load() > 0}
	if leader == r.config.Address {
		answer, _ := r.serveJoin(ctx, request)
		return answer.Standby
	}
	answer, err := rpc.Call[protocol.JoinRequest, protocol.JoinAnswer](ctx, r.config.Client, leader, protocol.MethodJoin, request)
	if err != nil {
		r.logger.Debug("join refused", "leader", leader, "error", err)
	}
	return answer.Standby
}

// discoverLeader returns the leader's address, as known here or by a seed.
func (r *Replica) discoverLeader(ctx context.Context) (string, bool) {
	if leader, known := r.Leader(); known {
		return leader.Address, true
	}
	for _, seed := range r.querySeeds(ctx) {
		if seed.err == nil && seed.identity.LeaderAddress != "" {
			return seed.identity.LeaderAddress, true
		}
	}
	return "", false
}

// wasReplaced reports that the cluster goes on without this replica, which then
// joins again. Its log is still its own: as a learner it is brought up to date,
// and what it once voted for it still remembers.
func (r *Replica) wasReplaced(ctx context.Context) bool {
	for _, seed := range r.querySeeds(ctx) {
		if seed.err != nil || seed.identity.LeaderAddress == "" || seed.identity.Relay {
			continue
		}
		if _, listed := findMember(seed.identity.Membership, r.self.ID); !listed {
			r.logger.Warn("this replica was replaced and joins again", "leader", seed.identity.LeaderAddress)
			return true
		}
	}
	return false
}

// serveJoin takes a newcomer in, step by step; leader only.
func (r *Replica) serveJoin(ctx context.Context, request protocol.JoinRequest) (protocol.JoinAnswer, error) {
	if request.Member.ID == "" || request.Member.Name == "" || request.Member.Address == "" {
		return protocol.JoinAnswer{}, &rpc.Error{Code: rpc.CodeBadRequest, Message: "member data is incomplete"}
	}
	if view := r.leadership.Load(); !view.leader || !r.HoldsLease(view.term) {
		return protocol.JoinAnswer{}, r.notLeader()
	}
	var step membershipStep
	err := r.runOnLoop(ctx, func(l *loop) error {
		step = l.nextMembershipStep(request)
		return l.proposeMembershipStep(request.Member, step)
	})
	if err != nil {
		return protocol.JoinAnswer{}, fmt.Errorf("join: %w", err)
	}
	return protocol.JoinAnswer{Voter: step.voter, Standby: step.standby}, nil
}

// serveRetire gives the seat of a voter that is about to stop to a learner that
// stands by; leader only.
func (r *Replica) serveRetire(ctx context.Context, request protocol.RetireRequest) (protocol.RetireAnswer, error) {
	if view := r.leadership.Load(); !view.leader || !r.HoldsLease(view.term) {
		return protocol.RetireAnswer{}, r.notLeader()
	}
	var done bool
	err := r.runOnLoop(ctx, func(l *loop) error {
		status := l.node.Status()
		done = hasRetired(request.ID, status.Membership)
		step := nextRetireStep(request.ID, status, l.now(), l.config.Timing.ElectionTimeoutMax)
		return l.proposeMembershipStep(step.learner, step)
	})
	if err != nil {
		return protocol.RetireAnswer{}, fmt.Errorf("retire: %w", err)
	}
	return protocol.RetireAnswer{Done: done}, nil
}

// proposeMembershipStep proposes the change of a step; a change that cannot be made now
// is asked for again.
func (l *loop) proposeMembershipStep(member raft.Member, step membershipStep) error {
	if step.postponed != "" {
		l.logPostponedJoin(member, step.postponed)
		return nil
	}
	if step.change == "" {
		return nil
	}
	err := l.node.ChangeMembership(l.now(), step.target)
	if errors.Is(err, raft.ErrMembershipChangePending) || errors.Is(err, raft.ErrNotCaughtUp) {
		return nil
	}
	if err != nil {
		return err
	}
	if step.learner.ID != "" {
		member = step.learner
	}
	l.logger.Info("membership change proposed", "change", step.change,
		"newcomer", string(member.ID), "name", member.Name, "replaces", string(step.replaces))
	return nil
}

// logPostponedJoin logs at most one line each few seconds.
func (l *loop) logPostponedJoin(member raft.Member, refusal string) {
	now := l.now()
	if l.lastPostponedLog != 0 && now-l.lastPostponedLog < joinLogInterval {
		return
	}
	l.lastPostponedLog = now
	l.logger.Warn("newcomer has to wait", "newcomer", string(member.ID), "name", member.Name, "reason", refusal)
}
