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

// relayRole is the role that a relay reports to the leader.
const relayRole = "relay"

// Relay is a scheduler without a data folder. It has no replica, so it never votes; it
// forwards operators' calls to the leader.
type Relay struct {
	*process.LeaderClientBase[settings.Scheduler]
	// Gateway forwards operators' calls to the leader.
	Gateway *front.Front
	handler http.Handler
}

// NewRelay creates a Relay. Run starts it.
func NewRelay(initial settings.Scheduler, options settings.LoadOptions) (*Relay, error) {
	r := &Relay{}
	base, err := process.NewLeaderClientBase(process.LeaderClientConfig[settings.Scheduler]{
		BaseConfig: baseConfig(initial, options),
		Role:       relayRole,
		// Like every gateway, it uses the default limits and needs no configuration.
		VersionOnly: true,
		// The context of each attempt sets a shorter bound.
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

// Handler returns the handler for calls between processes, health and metrics.
func (r *Relay) Handler() http.Handler { return r.handler }

// SetHandler replaces the handler. It must be called before Run.
func (r *Relay) SetHandler(handler http.Handler) { r.handler = handler }

// Run serves the relay, and the extra listeners, until ctx ends or a signal stops the
// process.
func (r *Relay) Run(ctx context.Context, extra ...daemon.Listener) error {
	return r.LeaderClientBase.Run(ctx, r.handler, extra)
}
