package schedulerprocess

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/front"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
)

// NewGateway creates a front inside this process that gets the leader's address from the
// replica, so that operators can call any scheduler and the call is forwarded to the
// leader. Run closes the gateway's client before it returns. NewGateway must be called
// before Run.
func (p *Process) NewGateway() (*front.Front, error) {
	client := rpc.NewClient(rpc.ClientConfig{Timeout: front.MaxAttemptDuration + time.Second, Dialer: rpc.DialFrom(p.initial.Source)})
	gateway, err := front.New(front.Config{Link: replicaLeaderSource{p.replica}, Client: client, Logger: p.base.Logger})
	if err != nil {
		client.Close()
		return nil, fmt.Errorf("make the gateway: %w", err)
	}
	p.gatewayClients = append(p.gatewayClients, client)
	return gateway, nil
}

// replicaLeaderSource implements front.LeaderLink with the leader's address from the replica.
type replicaLeaderSource struct{ replica *replica.Replica }

// Leader implements front.LeaderLink.
func (l replicaLeaderSource) Leader() (address string, ok bool) {
	leader, known := l.replica.Leader()
	return leader.Address, known
}

// ObserveHint and ReportFailure implement front.LeaderLink. They do nothing, because the replica
// itself tracks the leader.
func (replicaLeaderSource) ObserveHint(string)   {}
func (replicaLeaderSource) ReportFailure(string) {}

// Supervise implements front.LeaderLink. A change of leader does not end the call; its own
// timeout does.
func (replicaLeaderSource) Supervise(ctx context.Context, _ string) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// Config implements front.LeaderLink. It returns nil, because a gateway uses the default limits.
func (replicaLeaderSource) Config() *api.Config { return nil }

// Fresh implements front.LeaderLink.
func (l replicaLeaderSource) Fresh() bool {
	_, known := l.replica.Leader()
	return known
}
