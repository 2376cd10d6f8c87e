// Package schedulerprocess is a scheduler as a whole process.
package schedulerprocess

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/process"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/scheduler"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/storage"
	"github.com/decklever/decklever/internal/telemetry"
)

const (
	// Program is the name of the product's program.
	Program = "decklever-scheduler"
	// logPart names the replicated log in /readyz.
	logPart = "log"
)

// Process is one scheduler with all its parts.
type Process struct {
	initial settings.Scheduler
	options settings.LoadOptions
	level   *slog.LevelVar
	logger  *slog.Logger
	health  *telemetry.Health
	// wallOffset is added to the wall clock, for trials.
	wallOffset atomic.Int64
	store      *storage.Disk
	client     *rpc.Client
	replica    *replica.Replica
	handler    http.Handler
	// gatewayClients are closed at the end.
	gatewayClients []*rpc.Client
}

// New opens the data folder and makes the parts; none is at work yet.
func New(initial settings.Scheduler, options settings.LoadOptions) (*Process, error) {
	p := &Process{initial: initial, options: options, level: new(slog.LevelVar), health: telemetry.NewHealth()}
	p.logger = process.NewLogger(Program, &p.initial.Common, p.level)
	p.apply(initial)
	store, err := storage.OpenDisk(storage.DiskConfig{Directory: initial.DataDir, Logger: p.logger})
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", err)
	}
	p.store = store
	if err := p.assemble(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return p, nil
}

// assemble connects the record, the replica and the acting scheduler.
func (p *Process) assemble() error {
	registry := telemetry.NewRegistry()
	counted, err := rpc.NewMetrics(registry)
	if err != nil {
		return err
	}
	p.client = rpc.NewClient(rpc.ClientConfig{Dialer: rpc.DialFrom(p.initial.Source), Metrics: counted})
	service := scheduler.NewService(scheduler.Config{
		Archive:      p.store.Archive(),
		ArchiveBytes: p.initial.ArchiveMaxBytes,
		NewPlanner:   func() scheduler.Planner { return placement.New(placement.Config{}) },
		Logger:       p.logger,
		Registerer:   registry,
	})
	made, err := replica.New(p.replicaConfig(registry, service.Lead))
	if err != nil {
		return fmt.Errorf("make the replica: %w", err)
	}
	p.replica = made
	service.SetLog(made)
	server := rpc.NewServer(rpc.ServerConfig{Logger: p.logger, Metrics: counted})
	made.Register(server)
	service.Register(server)
	mux := http.NewServeMux()
	mux.Handle("/rpc/", server)
	mux.Handle("/", telemetry.Handler(registry, p.health))
	p.handler = mux
	p.checkHealth()
	return nil
}

func (p *Process) replicaConfig(registerer prometheus.Registerer, lead func(replica.Leadership)) replica.Config {
	timing := p.initial.Timing
	return replica.Config{
		Name:    p.initial.Name,
		Zone:    p.initial.Zone,
		Address: p.initial.Reach(),
		Seeds:   p.initial.Seeds,
		Store:   p.store,
		Record:  record.NewMachine(record.Config{Archive: p.store.Archive()}),
		Client:  p.client,
		WallClock: func() time.Time {
			return time.Now().Add(time.Duration(p.wallOffset.Load()))
		},
		Timing: replica.Timing{
			Tick:               timing.Tick.Std(),
			ElectionTimeoutMin: timing.ElectionTimeoutMin.Std(),
			ElectionTimeoutMax: timing.ElectionTimeoutMax.Std(),
			Lease:              timing.Lease.Std(),
		},
		SnapshotEvery: p.initial.SnapshotEvery,
		JoinOnly:      !p.initial.MayForm,
		MaxVoters:     2*p.initial.Tolerate + 1,
		Logger:        p.logger,
		Registerer:    registerer,
		Lead:          lead,
	}
}

// Handler serves the calls between processes, health and metrics; a program
// that embeds the process may serve more beside it, on the same address.
func (p *Process) Handler() http.Handler { return p.handler }

// SetHandler replaces the handler. It must be called before Run.
func (p *Process) SetHandler(handler http.Handler) { p.handler = handler }

// Run serves, on extra listeners too, until the context ends or a signal stops
// the process. Leadership is handed over first.
func (p *Process) Run(ctx context.Context, extra ...daemon.Listener) error {
	config := process.Daemon(&p.initial.Common, p.logger, p.health)
	config.Wrap = rpc.Probed
	config.Handler = p.handler
	config.Extra = extra
	config.Background = []func(context.Context) error{p.replica.Run, p.watchSettings, p.watchHealth}
	config.BeforeStop = p.replica.HandOver
	err := daemon.Run(ctx, config)
	for _, client := range append(p.gatewayClients, p.client) {
		client.Close()
	}
	return errors.Join(err, p.store.Close())
}

// watchSettings puts changes of the settings file in force.
func (p *Process) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, settings.WatchConfig[settings.Scheduler]{
		Options: p.options,
		Initial: p.initial,
		Apply:   p.apply,
		Logger:  p.logger,
	})
}

// apply puts in force what can change while the process runs.
func (p *Process) apply(changed settings.Scheduler) {
	telemetry.SetLevel(p.level, changed.Log.Level)
	p.wallOffset.Store(int64(changed.Test.WallClockOffset.Std()))
	if p.replica != nil {
		p.replica.SetSeeds(changed.Seeds)
		p.replica.SetZone(changed.Zone)
	}
}

// watchHealth keeps /readyz in step with the log.
func (p *Process) watchHealth(ctx context.Context) error {
	return p.health.Watch(ctx, p.checkHealth)
}

// checkHealth: a scheduler is ready while it knows a leader.
func (p *Process) checkHealth() {
	if _, known := p.replica.Leader(); known {
		p.health.SetReady(logPart, true, "")
		return
	}
	p.health.SetReady(logPart, false, "no leader is known")
}
