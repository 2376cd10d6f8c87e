package process

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/leaderlink"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/telemetry"
)

// leaderPart names the link to the leader in /readyz.
const leaderPart = "leader"

// LinkedConfig describes a process that is linked to the leader; T is its
// settings. All but Options and Apply is required.
type LinkedConfig[T any] struct {
	// Program is the program's name, Role its role as the leader knows it.
	Program, Role string
	Initial       T
	// VersionOnly: the process does not use the configuration's content.
	VersionOnly bool
	// Options are those that Initial was loaded with.
	Options settings.LoadOptions
	// Common returns what all settings have in common.
	Common func(*T) *settings.Common
	// CallTimeout backs up the bounds of single calls.
	CallTimeout time.Duration
	// Apply puts in force what can change while the process runs, besides what
	// all have in common.
	Apply func(T)
}

// Linked is what fronts and agents have in common: a link to the leader, and
// readiness that follows it.
type Linked[T any] struct {
	Logger   *slog.Logger
	Health   *telemetry.Health
	Registry *prometheus.Registry
	Client   *rpc.Client
	Link     *leaderlink.Link

	config LinkedConfig[T]
	level  *slog.LevelVar
	seeds  atomic.Pointer[[]string]
}

// NewLinked makes the parts; none is at work yet.
func NewLinked[T any](config LinkedConfig[T]) (*Linked[T], error) {
	common := config.Common(&config.Initial)
	l := &Linked[T]{
		Health:   telemetry.NewHealth(),
		Registry: telemetry.NewRegistry(),
		config:   config,
		level:    new(slog.LevelVar),
	}
	l.Logger = NewLogger(config.Program, common, l.level)
	l.seeds.Store(&common.Seeds)
	counted, err := rpc.NewMetrics(l.Registry)
	if err != nil {
		return nil, err
	}
	l.Client = rpc.NewClient(rpc.ClientConfig{
		Timeout: config.CallTimeout,
		Dialer:  rpc.DialFrom(common.Source),
		Metrics: counted,
	})
	l.Link = leaderlink.New(leaderlink.Config{
		Process: common.Name,
		Role:    config.Role,

		VersionOnly: config.VersionOnly,
		Zone:        common.Zone,
		Seeds:       func() []string { return *l.seeds.Load() },
		Client:      l.Client,
		Logger:      l.Logger,
	})
	l.checkHealth()
	return l, nil
}

// Status serves health and metrics.
func (l *Linked[T]) Status() http.Handler { return telemetry.Handler(l.Registry, l.Health) }

// Run serves until the context ends or a signal stops the process.
func (l *Linked[T]) Run(ctx context.Context, handler http.Handler, extra []daemon.Listener) error {
	defer l.Client.Close()
	config := Daemon(l.config.Common(&l.config.Initial), l.Logger, l.Health)
	config.Handler = handler
	config.Extra = extra
	config.Background = []func(context.Context) error{l.Link.Run, l.watchSettings, l.watchHealth}
	return daemon.Run(ctx, config)
}

// watchSettings puts changes of the settings file in force.
func (l *Linked[T]) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, settings.WatchConfig[T]{
		Options: l.config.Options,
		Initial: l.config.Initial,
		Apply:   l.apply,
		Logger:  l.Logger,
	})
}

// apply puts in force what can change while the process runs.
func (l *Linked[T]) apply(changed T) {
	common := l.config.Common(&changed)
	telemetry.SetLevel(l.level, common.Log.Level)
	l.seeds.Store(&common.Seeds)
	l.Link.SetZone(common.Zone)
	if l.config.Apply != nil {
		l.config.Apply(changed)
	}
}

// watchHealth keeps /readyz in step with the link to the leader.
func (l *Linked[T]) watchHealth(ctx context.Context) error {
	return l.Health.Watch(ctx, l.checkHealth)
}

func (l *Linked[T]) checkHealth() {
	if l.Link.Fresh() {
		l.Health.SetReady(leaderPart, true, "")
		return
	}
	l.Health.SetReady(leaderPart, false, "the leading scheduler has not answered lately")
}
