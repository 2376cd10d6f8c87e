package replica

import (
	"context"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// transferPollInterval is how often a replica that stops looks whether another can
// lead, and offers its seat.
const transferPollInterval = 50 * time.Millisecond

// PrepareShutdown passes leadership on, if held, and then the seat of a voter, if a
// learner stands by. It returns once that is done, nobody is left to take over,
// or ctx ends.
func (r *Replica) PrepareShutdown(ctx context.Context) {
	if !r.running.Load() {
		return
	}
	r.transferLeadership(ctx)
	r.retire(ctx)
}

// transferLeadership returns once another replica leads, or none of that can be.
func (r *Replica) transferLeadership(ctx context.Context) {
	err := r.runOnLoop(ctx, func(l *loop) error { return l.node.TransferLeadership(r.now(), "") })
	if err != nil {
		return
	}
	look := time.NewTicker(transferPollInterval)
	defer look.Stop()
	for {
		version, changed := r.roleChanges.watch()
		status := r.status.Load()
		if status.Role != raft.RoleLeader && status.Leader != "" {
			r.logger.Info("leadership handed over", "to", string(status.Leader), "term", status.Term, "change", version)
			return
		}
		select {
		case <-changed:
		case <-look.C:
			if !r.successorReachable(ctx) {
				r.logger.Info("leadership not handed over: too few replicas can be reached", "term", status.Term)
				return
			}
		case <-r.stopped:
			return
		case <-ctx.Done():
			return
		}
	}
}

// retire offers this replica's seat to one that stands by, until one has taken
// it, nobody stands by or can give it, or ctx ends. The process stops in any
// case.
func (r *Replica) retire(ctx context.Context) {
	if len(r.status.Load().Membership.Learners) == 0 {
		return
	}
	request := protocol.RetireRequest{ID: r.self.ID}
	for r.successorReachable(ctx) {
		leader, known := r.Leader()
		if known && leader.ID != r.self.ID {
			answer, err := rpc.Call[protocol.RetireRequest, protocol.RetireAnswer](ctx, r.config.Client, leader.Address, protocol.MethodRetire, request)
			if err == nil && answer.Done {
				return
			}
			r.logger.Debug("seat not handed over yet", "error", err)
		}
		if !contexttime.Sleep(ctx, transferPollInterval) {
			return
		}
	}
}

// successorReachable reports whether another voter can be reached, and with this one
// a majority of the voters.
func (r *Replica) successorReachable(ctx context.Context) bool {
	can := false
	err := r.runOnLoop(ctx, func(l *loop) error {
		membership := l.node.Status().Membership
		can = l.reachesQuorum(membership.Voters) && (len(membership.Outgoing) == 0 || l.reachesQuorum(membership.Outgoing))
		return nil
	})
	return err == nil && can
}

// reachesQuorum counts this replica and the voters to whom the newest call was
// answered.
func (l *loop) reachesQuorum(voters []raft.Member) bool {
	others, reached := 0, 0
	for _, voter := range voters {
		switch {
		case voter.ID == l.self.ID:
			reached++
		case l.transport.reachable(voter.ID):
			others++
			reached++
		}
	}
	return others > 0 && reached > len(voters)/2
}
