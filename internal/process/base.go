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

// shutdownPart is the part in /readyz that is not ready while the process stops.
const shutdownPart = "shutdown"

// BaseConfig configures a Base; T is the type of the process's settings. All fields are
// required except Options and Apply.
type BaseConfig[T any] struct {
	// Program is the program's name in log messages.
	Program string
	// Initial are the settings at the start.
	Initial T
	// Options are the options with which Initial was loaded. Changed settings are loaded
	// with them.
	Options settings.LoadOptions
	// Common returns the settings that all processes have in common.
	Common func(*T) *settings.Common
	// Apply applies changed settings that can take effect while the process runs. Base
	// itself applies the log level.
	Apply func(T)
}

// Readiness describes the part of the process on whose state /readyz depends.
type Readiness struct {
	Part string
	// UnreadyReason is the reason that /readyz gives while Ready returns false.
	UnreadyReason string
	Ready         func() bool
}

// Base contains what all processes have in common: logging, health, metrics and the watch
// of the settings file. It lives as long as the process. Its methods are safe for
// concurrent use.
type Base[T any] struct {
	Logger   *slog.Logger
	Health   *telemetry.Health
	Registry *prometheus.Registry
	// CallMetrics are the metrics of the RPC calls that the process makes and serves.
	CallMetrics *rpc.Metrics

	config BaseConfig[T]
	level  *slog.LevelVar
}

// NewBase creates a Base without starting a background task. It returns an error if the
// metrics cannot be registered.
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
	b.CallMetrics = calls
	return b, nil
}

// newLogger returns the logger of a process, which omits messages below level.
func newLogger(program string, common *settings.Common, level *slog.LevelVar) *slog.Logger {
	telemetry.SetLevel(level, common.Log.Level)
	return telemetry.NewLogger(telemetry.LoggerConfig{
		Level: level, Format: common.Log.Format, Program: program, Process: common.Name, Zone: common.Zone,
	})
}

// common returns the part of the initial settings that all processes have.
func (b *Base[T]) common() *settings.Common { return b.config.Common(&b.config.Initial) }

// Status returns a handler that serves health and metrics.
func (b *Base[T]) Status() http.Handler { return telemetry.Handler(b.Registry, b.Health) }

// DaemonConfig returns the configuration of the process's daemon without a handler. Its
// background tasks are the given ones, the watch of the settings file and the watch of the
// readiness.
func (b *Base[T]) DaemonConfig(readiness Readiness, background ...func(context.Context) error) daemon.Config {
	common := b.common()
	watchHealth := func(ctx context.Context) error {
		return b.Health.Watch(ctx, func() { b.CheckHealth(readiness) })
	}
	return daemon.Config{
		Listen:        common.Listen,
		Logger:        b.Logger,
		Background:    append(background, b.watchSettings, watchHealth),
		OnStopping:    func() { b.Health.SetReady(shutdownPart, false, "the process is about to stop") },
		ShutdownDelay: time.Duration(common.ShutdownDelay),
		StopTimeout:   time.Duration(common.StopTimeout),

		MaxConnections: common.MaxConnections,
	}
}

// CheckHealth updates the part's state in /readyz from readiness.
func (b *Base[T]) CheckHealth(readiness Readiness) {
	if readiness.Ready() {
		b.Health.SetReady(readiness.Part, true, "")
		return
	}
	b.Health.SetReady(readiness.Part, false, readiness.UnreadyReason)
}

// watchSettings applies changes to the settings file until ctx ends.
func (b *Base[T]) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, settings.WatchConfig[T]{
		Options: b.config.Options,
		Initial: b.config.Initial,
		Apply:   b.apply,
		Logger:  b.Logger,
	})
}

// apply applies the settings that can change while the process runs.
func (b *Base[T]) apply(changed T) {
	telemetry.SetLevel(b.level, b.config.Common(&changed).Log.Level)
	if b.config.Apply != nil {
		b.config.Apply(changed)
	}
}
