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

// NewGateway makes a front inside this process that gets the leader's address from the
// replica, so that calls to any scheduler are forwarded to the one that leads. Run closes
// its client.
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

// replicaLeaderSource lets a front get the leader's address from the replica.
type replicaLeaderSource struct{ replica *replica.Replica }

// Leader implements front.Link.
func (l replicaLeaderSource) Leader() (address string, ok bool) {
	leader, known := l.replica.Leader()
	return leader.Address, known
}

// ObserveHint and Failed implement front.Link; the replica learns for itself.
func (replicaLeaderSource) ObserveHint(string)   {}
func (replicaLeaderSource) ReportFailure(string) {}

// Supervise implements front.Link: a call goes on until its own time is over.
func (replicaLeaderSource) Supervise(ctx context.Context, _ string) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// Config implements front.Link: none, as a gateway's limits are the defaults.
func (replicaLeaderSource) Config() *api.Config { return nil }

// Fresh implements front.Link.
func (l replicaLeaderSource) Fresh() bool {
	_, known := l.replica.Leader()
	return known
}
