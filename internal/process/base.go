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

// shutdownComponent is the component in /readyz that makes a stopping process not ready.
const shutdownComponent = "shutdown"

// BaseConfig describes a process; T is its settings. All fields but Options and Apply are
// required.
type BaseConfig[T any] struct {
	// Program is the name of the program, for the log.
	Program string
	// Initial are the settings at the start.
	Initial T
	// Options are those that Initial was loaded with.
	Options settings.LoadOptions
	// Common returns the part of the settings that all processes have.
	Common func(*T) *settings.Common
	// Apply applies changed settings, as far as they can change while the process
	// runs. Base applies the log level itself.
	Apply func(T)
}

// Readiness is the component of a process that /readyz depends on.
type Readiness struct {
	Component string
	// Unready is the reason that /readyz gives while Ready returns false.
	Unready string
	Ready   func() bool
}

// Base is what all processes have in common: logging, health, metrics, and the watch of
// their settings. It lives as long as the process; its methods may be called from any
// goroutine.
type Base[T any] struct {
	Logger   *slog.Logger
	Health   *telemetry.Health
	Registry *prometheus.Registry
	// Calls are the metrics of the rpc calls that the process makes and serves.
	Calls *rpc.Metrics

	config BaseConfig[T]
	level  *slog.LevelVar
}

// NewBase makes the parts and starts nothing.
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

// newLogger returns the logger of a process, which omits lines below level.
func newLogger(program string, common *settings.Common, level *slog.LevelVar) *slog.Logger {
	telemetry.SetLevel(level, common.Log.Level)
	return telemetry.NewLogger(telemetry.LoggerConfig{
		Level: level, Format: common.Log.Format, Program: program, Process: common.Name, Zone: common.Zone,
	})
}

// common is the part of the initial settings that all processes have.
func (b *Base[T]) common() *settings.Common { return b.config.Common(&b.config.Initial) }

// Status serves health and metrics.
func (b *Base[T]) Status() http.Handler { return telemetry.Handler(b.Registry, b.Health) }

// Daemon returns the configuration of the process's daemon, but for its handler: address
// and bounds, and as background tasks those given, the watch of the settings, and that of
// the readiness.
func (b *Base[T]) Daemon(readiness Readiness, background ...func(context.Context) error) daemon.Config {
	common := b.common()
	watchHealth := func(ctx context.Context) error {
		return b.Health.Watch(ctx, func() { b.CheckHealth(readiness) })
	}
	return daemon.Config{
		Listen:        common.Listen,
		Logger:        b.Logger,
		Background:    append(background, b.watchSettings, watchHealth),
		Stopping:      func() { b.Health.SetReady(shutdownComponent, false, "the process is about to stop") },
		ShutdownDelay: time.Duration(common.ShutdownDelay),
		StopTimeout:   time.Duration(common.StopTimeout),

		MaxConnections: common.MaxConnections,
	}
}

// CheckHealth updates /readyz from the readiness.
func (b *Base[T]) CheckHealth(readiness Readiness) {
	if readiness.Ready() {
		b.Health.SetReady(readiness.Component, true, "")
		return
	}
	b.Health.SetReady(readiness.Component, false, readiness.Unready)
}

// watchSettings applies changes of the settings file.
func (b *Base[T]) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, settings.WatchConfig[T]{
		Options: b.config.Options,
		Initial: b.config.Initial,
		Apply:   b.apply,
		Logger:  b.Logger,
	})
}

// apply applies what can change while the process runs.
func (b *Base[T]) apply(changed T) {
	telemetry.SetLevel(b.level, b.config.Common(&changed).Log.Level)
	if b.config.Apply != nil {
		b.config.Apply(changed)
	}
}
