package process

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/telemetry"
)

// shutdownComponent names in /readyz why a process that stops is not ready.
const shutdownComponent = "shutdown"

// BaseConfig describes a process; T is its settings. All but Options and Apply
// is required.
type BaseConfig[T any] struct {
	// Program is the program's name.
	Program string
	Initial T
	// Options are those that Initial was loaded with.
	Options settings.LoadOptions
	// Common returns what all settings have in common.
	Common func(*T) *settings.Common
	// Apply puts in force what can change while the process runs, besides what
	// the base sees to itself.
	Apply func(T)
}

// Readiness is the part of a process that /readyz follows.
type Readiness struct {
	// Component names it, Unready says why it is not ready when it is not.
	Component, Unready string
	Ready              func() bool
}

// Base is what all processes have in common: logging, health, metrics, and
// settings that are watched.
type Base[T any] struct {
	Logger   *slog.Logger
	Health   *telemetry.Health
	Registry *prometheus.Registry
	// Calls counts the calls that the process makes and serves.
	Calls *rpc.Metrics

	config BaseConfig[T]
	level  *slog.LevelVar
}

// NewBase makes the parts; none is at work yet.
func NewBase[T any](config BaseConfig[T]) (*Base[T], error) {
	b := &Base[T]{
		Health:   telemetry.NewHealth(),
		Registry: telemetry.NewRegistry(),
		config:   config,
		level:    new(slog.LevelVar),
	}
	b.Logger = newLogger(config.Program, b.common(), b.level)
	calls, err := rpc.NewMetrics(b.Registry)
	if err != nil {
		return nil, err
	}
	b.Calls = calls
	return b, nil
}

// newLogger returns the logger of a process, whose lines below level are left
// out.
func newLogger(program string, common *settings.Common, level *slog.LevelVar) *slog.Logger {
	telemetry.SetLevel(level, common.Log.Level)
	return telemetry.NewLogger(telemetry.LoggerConfig{
		Level: level, Format: common.Log.Format, Program: program, Process: common.Name, Zone: common.Zone,
	})
}

// common is what the initial settings have in common with those of others.
func (b *Base[T]) common() *settings.Common { return b.config.Common(&b.config.Initial) }

// Status serves health and metrics.
func (b *Base[T]) Status() http.Handler { return telemetry.Handler(b.Registry, b.Health) }

// Daemon begins the configuration of the process's daemon: its addresses and
// bounds, and as background the parts given, the watch of the settings, and
// that of the readiness.
func (b *Base[T]) Daemon(readiness Readiness, parts ...func(context.Context) error) daemon.Config {
	common := b.common()
	watchHealth := func(ctx context.Context) error {
		return b.Health.Watch(ctx, func() { b.CheckHealth(readiness) })
	}
	return daemon.Config{
		Listen:        common.Listen,
		Logger:        b.Logger,
		Background:    append(parts, b.watchSettings, watchHealth),
		Stopping:      func() { b.Health.SetReady(shutdownComponent, false, "the process is about to stop") },
		ShutdownDelay: time.Duration(common.ShutdownDelay),
		StopTimeout:   time.Duration(common.StopTimeout),

		MaxConnections: common.MaxConnections,
	}
}

// CheckHealth brings /readyz in step with the readiness.
func (b *Base[T]) CheckHealth(readiness Readiness) {
	if readiness.Ready() {
		b.Health.SetReady(readiness.Component, true, "")
		return
	}
	b.Health.SetReady(readiness.Component, false, readiness.Unready)
}

// watchSettings puts changes of the settings file in force.
func (b *Base[T]) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, settings.WatchConfig[T]{
		Options: b.config.Options,
		Initial: b.config.Initial,
		Apply:   b.apply,
		Logger:  b.Logger,
	})
}

// apply puts in force what can change while the process runs.
func (b *Base[T]) apply(changed T) {
	telemetry.SetLevel(b.level, b.config.Common(&changed).Log.Level)
	if b.config.Apply != nil {
		b.config.Apply(changed)
	}
}
