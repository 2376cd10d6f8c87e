package agentprocess

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/agent"
	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/process"
	"github.com/decklever/decklever/internal/settings"
)

// Program is the name of the agent's program.
const Program = "decklever-agent"

// Process is an agent with all its components.
type Process struct {
	*process.LeaderClientBase[settings.Agent]
	// Agent serves the workers' requests and forwards heartbeats to the leader.
	Agent *agent.Agent

	zone atomic.Pointer[string]
}

// New creates a Process. Run starts it.
func New(initial settings.Agent, options settings.LoadOptions) (*Process, error) {
	p := &Process{}
	p.zone.Store(&initial.Zone)
	base, err := process.NewLeaderClientBase(process.LeaderClientConfig[settings.Agent]{
		BaseConfig: process.BaseConfig[settings.Agent]{
			Program: Program,
			Initial: initial,
			Options: options,
			Common:  func(s *settings.Agent) *settings.Common { return &s.Common },
			Apply:   func(changed settings.Agent) { p.zone.Store(&changed.Zone) },
		},
		Role:        "agent",
		VersionOnly: true,
		// The context of each call sets a shorter bound.
		CallTimeout: max(initial.RelayTimeout.Std(), leaderclient.MaxCallDuration) + time.Second,
	})
	if err != nil {
		return nil, err
	}
	p.LeaderClientBase = base
	p.Agent, err = agent.New(agent.Config{
		Name:         initial.Name,
		Zone:         p.Zone,
		RelayTimeout: initial.RelayTimeout.Std(),
		Link:         p.Leader,
		Client:       p.Client,
		Status:       p.Status(),
		Logger:       p.Logger,
		Registerer:   p.Registry,
	})
	if err != nil {
		return nil, fmt.Errorf("make the agent: %w", err)
	}
	return p, nil
}

// Zone returns the zone in the current settings.
func (p *Process) Zone() string { return *p.zone.Load() }

// Run serves the agent, and the extra listeners, until ctx ends or a signal stops the
// process.
func (p *Process) Run(ctx context.Context, extra ...daemon.Listener) error {
	return p.LeaderClientBase.Run(ctx, p.Agent, extra)
}
