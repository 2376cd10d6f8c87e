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

// Program is the name of the product's program.
const Program = "decklever-agent"

// Process is one agent with all its parts.
type Process struct {
	*process.LeaderClientBase[settings.Agent]
	// Agent forwards heartbeats.
	Agent *agent.Agent

	zone atomic.Pointer[string]
}

// New makes the parts and starts nothing.
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
		// Each call is bounded by its context.
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

// Zone is the zone in the current settings.
func (p *Process) Zone() string { return *p.zone.Load() }

// Run serves, on extra listeners too, until the context ends or a signal stops
// the process.
func (p *Process) Run(ctx context.Context, extra ...daemon.Listener) error {
	return p.LeaderClientBase.Run(ctx, p.Agent, extra)
}
