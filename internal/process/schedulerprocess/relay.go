package schedulerprocess

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/front"
	"github.com/decklever/decklever/internal/process"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/settings"
)

// relayRole is the role of a relay as the leader knows it.
const relayRole = "relay"

// Relay is a scheduler without a data folder: it has no replica, so it never votes, and
// forwards operators' calls to the leader.
type Relay struct {
	*process.LeaderClientBase[settings.Scheduler]
	// Gateway forwards the calls.
	Gateway *front.Front
	handler http.Handler
}

// NewRelay makes the parts and starts nothing.
func NewRelay(initial settings.Scheduler, options settings.LoadOptions) (*Relay, error) {
	r := &Relay{}
	base, err := process.NewLeaderClientBase(process.LeaderClientConfig[settings.Scheduler]{
		BaseConfig: baseConfig(initial, options),
		Role:       relayRole,
		// As in every gateway, the limits are the defaults.
		VersionOnly: true,
		// The gateway bounds each attempt by its context.
		CallTimeout: front.MaxAttemptDuration + time.Second,
	})
	if err != nil {
		return nil, err
	}
	r.LeaderClientBase = base
	r.Gateway, err = front.New(front.Config{Link: r.Leader, Client: r.Client, Logger: r.Logger})
	if err != nil {
		return nil, fmt.Errorf("make the gateway: %w", err)
	}
	server := rpc.NewServer(rpc.ServerConfig{Logger: r.Logger})
	rpc.Handle(server, protocol.MethodIdentity, func(context.Context, protocol.Empty) (protocol.IdentityAnswer, error) {
		address, _ := r.Leader.Leader()
		return protocol.IdentityAnswer{Relay: true, LeaderAddress: address}, nil
	})
	r.handler = routes(server, r.Status())
	return r, nil
}

// Handler serves the calls between processes, health and metrics.
func (r *Relay) Handler() http.Handler { return r.handler }

// SetHandler replaces the handler. It must be called before Run.
func (r *Relay) SetHandler(handler http.Handler) { r.handler = handler }

// Run serves, on extra listeners too, until the context ends or a signal stops
// the process.
func (r *Relay) Run(ctx context.Context, extra ...daemon.Listener) error {
	return r.LeaderClientBase.Run(ctx, r.handler, extra)
}
