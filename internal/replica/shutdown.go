package replica

import (
	"context"
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// transferPollInterval is the interval at which a stopping replica checks whether another
// replica can lead, and offers its voter slot.
const transferPollInterval = 50 * time.Millisecond

// shutdown prepares this replica for its stop: it transfers leadership and then the voter
// slot.
type shutdown struct {
	published *published
	mailbox   *mailbox
	client    *rpc.Client
	logger    *slog.Logger
}

// prepare implements Replica.PrepareShutdown. It returns at once if the loop has not
// started.
func (s *shutdown) prepare(ctx context.Context) {
	if !s.published.running.Load() {
		return
	}
	s.transferLeadership(ctx)
	s.retire(ctx)
}

// transferLeadership transfers leadership if this replica leads. It returns once another
// replica leads, when no quorum that could elect one is reachable, when the loop has ended,
// or when ctx ends.
func (s *shutdown) transferLeadership(ctx context.Context) {
	err := s.mailbox.runOnLoop(ctx, func(l *loop) error { return l.node.TransferLeadership(l.now(), "") })
	if err != nil {
		return
	}
	poll := time.NewTicker(transferPollInterval)
	defer poll.Stop()
	for {
		version, changed := s.published.roleChanges.watch()
		status := s.published.status.Load()
		if status.Role != raft.RoleLeader && status.Leader != "" {
			s.logger.Info("leadership transferred", "to", string(status.Leader), "term", status.Term, "change", version)
			return
		}
		select {
		case <-changed:
		case <-poll.C:
			if !s.successorReachable(ctx) {
				s.logger.Info("leadership not transferred: too few replicas reachable", "term", status.Term)
				return
			}
		case <-s.mailbox.stopped:
			return
		case <-ctx.Done():
			return
		}
	}
}

// retire asks the leader to give this replica's voter slot to a learner. It returns at once
// if there is no learner; otherwise it retries until the leader reports that the slot is
// transferred, no quorum is reachable that could elect a leader, or ctx ends. Failure is
// not an error: the process stops in any case.
func (s *shutdown) retire(ctx context.Context) {
	if len(s.published.status.Load().Membership.Learners) == 0 {
		return
	}
	request := protocol.RetireRequest{ID: s.published.id}
	for s.successorReachable(ctx) {
		leader, known := s.published.leader()
		if known && leader.ID != s.published.id {
			answer, err := rpc.Call[protocol.RetireRequest, protocol.RetireAnswer](ctx, s.client, leader.Address, protocol.MethodRetire, request)
			if err == nil && answer.Done {
				return
			}
			s.logger.Debug("voter slot not transferred yet", "error", err)
		}
		if !contexttime.Sleep(ctx, transferPollInterval) {
			return
		}
	}
}

// successorReachable reports whether at least one other voter and, counting this replica, a
// majority of the voters are reachable. During a joint membership change this must hold for
// both sets of voters.
func (s *shutdown) successorReachable(ctx context.Context) bool {
	reachable := false
	err := s.mailbox.runOnLoop(ctx, func(l *loop) error {
		membership := l.node.Status().Membership
		reachable = l.transport.ReachesQuorum(membership.Voters) &&
			(len(membership.Outgoing) == 0 || l.transport.ReachesQuorum(membership.Outgoing))
		return nil
	})
	return err == nil && reachable
}
