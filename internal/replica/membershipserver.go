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

// postponedLogInterval is how often the leader logs why it lets a newcomer wait.
const postponedLogInterval = 5 * time.Second

// membershipServer takes replicas into the membership and lets voters retire, while
// this replica leads.
type membershipServer struct {
	published *published
	mailbox   *mailbox
}

// serveJoin takes a newcomer in, one step for each request.
func (s *membershipServer) serveJoin(ctx context.Context, request protocol.JoinRequest) (protocol.JoinAnswer, error) {
	if request.Member.ID == "" || request.Member.Name == "" || request.Member.Address == "" {
		return protocol.JoinAnswer{}, &rpc.Error{Code: rpc.CodeBadRequest, Message: "member data is incomplete"}
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

// serveRetire gives the slot of a voter that is about to stop to a learner that stands
// by.
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

// membershipChanger proposes changes of the membership as the leader. It belongs to
// the loop.
type membershipChanger struct {
	node *raft.Node
	// maxVoters is Config.MaxVoters.
	maxVoters int
	// electionTimeoutMax bounds how long a live replica may be out of contact.
	electionTimeoutMax time.Duration
	logger             *slog.Logger
	// postponedLoggedAt is when a postponed join was last logged; 0 if never.
	postponedLoggedAt time.Duration
}

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

// nextRetireStep also reports whether the voter has nothing more to wait for.
func (c *membershipChanger) nextRetireStep(leaving raft.ReplicaID, now time.Duration) (step reconfig.Step, done bool) {
	status := c.node.Status()
	return reconfig.NextRetireStep(leaving, status, now, c.electionTimeoutMax), reconfig.HasRetired(leaving, status.Membership)
}

// propose proposes the change of a step for a member. A change that cannot be made now
// is requested again, so that is no error.
func (c *membershipChanger) propose(step reconfig.Step, member raft.Member, now time.Duration) error {
	if step.Postponed != "" {
		c.logPostponed(member, step.Postponed, now)
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

// logPostponed logs at most one line in each postponedLogInterval.
func (c *membershipChanger) logPostponed(member raft.Member, reason string, now time.Duration) {
	if c.postponedLoggedAt != 0 && now-c.postponedLoggedAt < postponedLogInterval {
		return
	}
	c.postponedLoggedAt = now
	c.logger.Warn("join postponed", "newcomer", string(member.ID), "name", member.Name, "reason", reason)
}
