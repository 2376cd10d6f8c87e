package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/replica/reconfig"
	"github.com/decklever/decklever/internal/rpc"
)

// postponedLogInterval is the minimum time between log lines about postponed joins.
const postponedLogInterval = 5 * time.Second

// membershipServer serves join and retire requests of replicas while this replica is the
// leader.
type membershipServer struct {
	published *published
	mailbox   *mailbox
}

// serveJoin proposes the next step of a join. The newcomer repeats its request until the
// answer says that it votes or stands by.
func (s *membershipServer) serveJoin(ctx context.Context, request protocol.JoinRequest) (protocol.JoinAnswer, error) {
	if request.Member.ID == "" || request.Member.Name == "" || request.Member.Address == "" {
		return protocol.JoinAnswer{}, &rpc.Error{Code: rpc.CodeBadRequest, Message: "join request lacks the member's id, name or address"}
	}
	if !s.published.holdsAnyLease() {
		return protocol.JoinAnswer{}, s.published.notLeaderError()
	}
	var step reconfig.Step
	err := s.mailbox.runOnLoop(ctx, func(l *loop) error {
		step = l.membership.nextStep(request, l.now())
		return l.membership.propose(step, request.Member, l.now())
	})
	if err != nil {
		return protocol.JoinAnswer{}, fmt.Errorf("join: %w", err)
	}
	return protocol.JoinAnswer{Voter: step.Voter, Standby: step.Standby}, nil
}

// serveRetire proposes to give the slot of a voter that is about to stop to a standby
// learner. Done is true in the answer once the voter need not wait any longer, see
// reconfig.HasRetired.
func (s *membershipServer) serveRetire(ctx context.Context, request protocol.RetireRequest) (protocol.RetireAnswer, error) {
	if !s.published.holdsAnyLease() {
		return protocol.RetireAnswer{}, s.published.notLeaderError()
	}
	var done bool
	err := s.mailbox.runOnLoop(ctx, func(l *loop) error {
		var step reconfig.Step
		step, done = l.membership.nextRetireStep(request.ID, l.now())
		return l.membership.propose(step, step.Learner, l.now())
	})
	if err != nil {
		return protocol.RetireAnswer{}, fmt.Errorf("retire: %w", err)
	}
	return protocol.RetireAnswer{Done: done}, nil
}

// membershipChanger proposes membership changes while this replica is the leader. It
// belongs to the loop.
type membershipChanger struct {
	node *raft.Node
	// maxVoters is Config.MaxVoters.
	maxVoters int
	// electionTimeoutMax is how long a live replica may be out of contact. A voter is
	// replaced after twice this time.
	electionTimeoutMax time.Duration
	logger             *slog.Logger
	// postponedLoggedAt is when a postponed join was last logged, on the monotonic
	// clock; 0 if never.
	postponedLoggedAt time.Duration
}

// nextStep decides the next step for the newcomer that sent the request.
func (c *membershipChanger) nextStep(request protocol.JoinRequest, now time.Duration) reconfig.Step {
	return reconfig.NextStep(reconfig.Query{
		Member:        request.Member,
		ArchiveCopied: request.ArchiveCopied,
		Status:        c.node.Status(),
		Now:           now,
		VoterTimeout:  2 * c.electionTimeoutMax,
		MaxVoters:     c.maxVoters,
	})
}

// nextRetireStep decides the next step for a voter that retires. done reports whether the
// voter need not wait any longer; see reconfig.HasRetired.
func (c *membershipChanger) nextRetireStep(leaving raft.ReplicaID, now time.Duration) (step reconfig.Step, done bool) {
	status := c.node.Status()
	return reconfig.NextRetireStep(leaving, status, now, c.electionTimeoutMax), reconfig.HasRetired(leaving, status.Membership)
}

// propose proposes the membership change of a step for a member, or logs why the step is
// postponed. It returns nil if another change is pending or the learner has not caught up,
// because the member repeats its request.
func (c *membershipChanger) propose(step reconfig.Step, member raft.Member, now time.Duration) error {
	if step.PostponedReason != "" {
		c.logPostponed(member, step.PostponedReason, now)
		return nil
	}
	if step.Change == reconfig.ChangeNone {
		return nil
	}
	err := c.node.ChangeMembership(now, step.Target)
	if errors.Is(err, raft.ErrMembershipChangePending) || errors.Is(err, raft.ErrNotCaughtUp) {
		return nil
	}
	if err != nil {
		return err
	}
	if step.Learner.ID != "" {
		member = step.Learner
	}
	c.logger.Info("membership change proposed", "change", string(step.Change),
		"newcomer", string(member.ID), "name", member.Name, "replaces", string(step.Replaces))
	return nil
}

// logPostponed logs a postponed join, at most once per postponedLogInterval.
func (c *membershipChanger) logPostponed(member raft.Member, reason string, now time.Duration) {
	if c.postponedLoggedAt != 0 && now-c.postponedLoggedAt < postponedLogInterval {
		return
	}
	c.postponedLoggedAt = now
	c.logger.Warn("join postponed", "newcomer", string(member.ID), "name", member.Name, "reason", reason)
}
