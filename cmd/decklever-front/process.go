package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/front"
	"github.com/decklever/decklever/internal/leaderlink"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/telemetry"
)

const (
	program = "decklever-front"
	// leaderPart names the link to the leader in /readyz.
	leaderPart = "leader"
)

// process is one front with all its parts.
type process struct {
	initial settings.Front
	options settings.LoadOptions
	level   *slog.LevelVar
	logger  *slog.Logger
	health  *telemetry.Health
	seeds   atomic.Pointer[[]string]
	client  *rpc.Client
	link    *leaderlink.Link
	front   *front.Front
}

// newProcess makes the parts; none is at work yet.
func newProcess(initial settings.Front, options settings.LoadOptions) (*process, error) {
	p := &process{initial: initial, options: options, level: new(slog.LevelVar), health: telemetry.NewHealth()}
	p.logger = telemetry.NewLogger(telemetry.LoggerConfig{
		Level: p.level, Format: initial.Log.Format, Program: program, Process: initial.Name, Zone: initial.Zone,
	})
	p.seeds.Store(&initial.Seeds)
	registry := telemetry.NewRegistry()
	counted, err := rpc.NewMetrics(registry)
	if err != nil {
		return nil, err
	}
	// The front bounds each try by its context; the client only backs it up.
	p.client = rpc.NewClient(rpc.ClientConfig{
		Timeout: front.MaxTry + time.Second,
		Dialer:  rpc.DialFrom(initial.Source),
		Metrics: counted,
	})
	p.link = leaderlink.New(leaderlink.Config{
		Process: initial.Name,
		Role:    "front",
		Zone:    initial.Zone,
		Seeds:   func() []string { return *p.seeds.Load() },
		Client:  p.client,
		Logger:  p.logger,
	})
	p.checkHealth()
	served, err := front.New(front.Config{
		Link:       p.link,
		Client:     p.client,
		Status:     telemetry.Handler(registry, p.health),
		Logger:     p.logger,
		Registerer: registry,
	})
	if err != nil {
		return nil, fmt.Errorf("make the front: %w", err)
	}
	p.front = served
	p.apply(initial)
	return p, nil
}

// run serves until the context ends or a signal stops the process.
func (p *process) run(ctx context.Context) error {
	defer p.client.Close()
	return daemon.Run(ctx, daemon.Config{
		Listen:     p.initial.Listen,
		Handler:    p.front,
		Logger:     p.logger,
		Background: []func(context.Context) error{p.link.Run, p.watchSettings, p.watchHealth},
	})
}

// watchSettings puts changes of the settings file in force.
func (p *process) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, settings.WatchConfig[settings.Front]{
		Options: p.options,
		Initial: p.initial,
		Apply:   p.apply,
		Logger:  p.logger,
	})
}

// apply puts in force what can change while the process runs.
func (p *process) apply(changed settings.Front) {
	telemetry.SetLevel(p.level, changed.Log.Level)
	p.seeds.Store(&changed.Seeds)
	p.link.SetZone(changed.Zone)
	p.front.Apply(front.Settings{Deadline: changed.Deadline.Std(), MaxInflight: changed.MaxInflight})
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
