package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/agent"
	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/leaderlink"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/telemetry"
)

const (
	program = "decklever-agent"
	// leaderPart names the link to the leader in /readyz.
	leaderPart = "leader"
)

// process is one agent with all its parts.
type process struct {
	initial settings.Agent
	options settings.LoadOptions
	level   *slog.LevelVar
	logger  *slog.Logger
	health  *telemetry.Health
	current atomic.Pointer[settings.Agent]
	client  *rpc.Client
	link    *leaderlink.Link
	agent   *agent.Agent
}

// newProcess makes the parts; none is at work yet.
func newProcess(initial settings.Agent, options settings.LoadOptions) (*process, error) {
	p := &process{initial: initial, options: options, level: new(slog.LevelVar), health: telemetry.NewHealth()}
	p.logger = telemetry.NewLogger(telemetry.LoggerConfig{
		Level: p.level, Format: initial.Log.Format, Program: program, Process: initial.Name, Zone: initial.Zone,
	})
	p.current.Store(&initial)
	registry := telemetry.NewRegistry()
	counted, err := rpc.NewMetrics(registry)
	if err != nil {
		return nil, err
	}
	// Each call is bounded by its context; the client only backs it up.
	p.client = rpc.NewClient(rpc.ClientConfig{
		Timeout: initial.RelayTimeout.Std() + time.Second,
		Dialer:  rpc.DialFrom(initial.Source),
		Metrics: counted,
	})
	p.link = leaderlink.New(leaderlink.Config{
		Process: initial.Name,
		Role:    "agent",
		Zone:    initial.Zone,
		Seeds:   func() []string { return p.current.Load().Seeds },
		Client:  p.client,
		Logger:  p.logger,
	})
	p.apply(initial)
	p.checkHealth()
	served, err := agent.New(agent.Config{
		Name:         initial.Name,
		Zone:         func() string { return p.current.Load().Zone },
		RelayTimeout: initial.RelayTimeout.Std(),
		Link:         p.link,
		Client:       p.client,
		Status:       telemetry.Handler(registry, p.health),
		Logger:       p.logger,
		Registerer:   registry,
	})
	if err != nil {
		return nil, fmt.Errorf("make the agent: %w", err)
	}
	p.agent = served
	return p, nil
}

// run serves until the context ends or a signal stops the process.
func (p *process) run(ctx context.Context) error {
	defer p.client.Close()
	return daemon.Run(ctx, daemon.Config{
		Listen:     p.initial.Listen,
		Handler:    p.agent,
		Logger:     p.logger,
		Background: []func(context.Context) error{p.link.Run, p.watchSettings, p.watchHealth},
	})
}

// watchSettings puts changes of the settings file in force.
func (p *process) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, settings.WatchConfig[settings.Agent]{
		Options: p.options,
		Initial: p.initial,
		Apply:   p.apply,
		Logger:  p.logger,
	})
}

// apply puts in force what can change while the process runs.
func (p *process) apply(changed settings.Agent) {
	telemetry.SetLevel(p.level, changed.Log.Level)
	p.current.Store(&changed)
	p.link.SetZone(changed.Zone)
}

// watchHealth keeps /readyz in step with the link to the leader.
func (p *process) watchHealth(ctx context.Context) error {
	return p.health.Watch(ctx, p.checkHealth)
}

func (p *process) checkHealth() {
	if p.link.Fresh() {
		p.health.SetReady(leaderPart, true, "")
		return
	}
	p.health.SetReady(leaderPart, false, "the leading scheduler has not answered lately")
}
