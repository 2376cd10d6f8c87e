package schedulerprocess

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/process"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/scheduler"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/storage"
)

const (
	// Program is the name of the product's program.
	Program = "decklever-scheduler"
	// logComponent is the replicated log in /readyz.
	logComponent = "log"
)

// Process is one scheduler with all its parts. It lives for one Run.
type Process struct {
	initial settings.Scheduler
	base    *process.Base[settings.Scheduler]
	// wallOffset, in nanoseconds, is added to the wall clock; it is for tests.
	wallOffset atomic.Int64
	store      storage.Store
	client     *rpc.Client
	replica    *replica.Replica
	calls      *rpc.Server
	handler    http.Handler
	// gatewayClients are closed at the end of Run.
	gatewayClients []*rpc.Client
}

// New opens the data folder, makes the parts and starts nothing.
func New(initial settings.Scheduler, options settings.LoadOptions) (*Process, error) {
	p := &Process{initial: initial}
	config := baseConfig(initial, options)
	config.Apply = p.apply
	base, err := process.NewBase(config)
	if err != nil {
		return nil, err
	}
	p.base = base
	p.setWallOffset(initial)
	store, err := storage.OpenDisk(storage.DiskConfig{Directory: initial.DataDir, Logger: base.Logger})
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", err)
	}
	if err := p.assemble(store); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return p, nil
}

// baseConfig describes what a scheduler has in common with other processes.
func baseConfig(initial settings.Scheduler, options settings.LoadOptions) process.BaseConfig[settings.Scheduler] {
	return process.BaseConfig[settings.Scheduler]{
		Program: Program,
		Initial: initial,
		Options: options,
		Common:  func(s *settings.Scheduler) *settings.Common { return &s.Common },
	}
}

// assemble connects the record, the replica and the service that acts while it leads.
func (p *Process) assemble(store storage.Store) error {
	p.store = store
	off, err := featuregate.Parse(p.initial.Experiment.Off)
	if err != nil {
		return err
	}
	p.client = rpc.NewClient(rpc.ClientConfig{Dialer: rpc.DialFrom(p.initial.Source), Metrics: p.base.Calls})
	service := scheduler.NewService(scheduler.Config{
		Archive:          p.store.Archive(),
		ArchiveBytes:     p.initial.ArchiveMaxBytes,
		NewPlanner:       func() scheduler.Planner { return placement.New(placement.Config{DisabledFeatures: off}) },
		DisabledFeatures: off,
		Logger:           p.base.Logger,
		Registerer:       p.base.Registry,
	})
	created, err := replica.New(p.replicaConfig(withGCPercent(p.initial.LeaderGCPercent, service.Lead)))
	if err != nil {
		return fmt.Errorf("make the replica: %w", err)
	}
	p.replica = created
	service.SetLog(created)
	server := rpc.NewServer(rpc.ServerConfig{Logger: p.base.Logger, Metrics: p.base.Calls})
	created.Register(server)
	service.Register(server)
	p.calls = server
	p.handler = routes(server, p.base.Status())
	p.base.CheckHealth(p.readiness())
	return nil
}

// routes serves the calls between processes beside health and metrics.
func routes(calls, status http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/rpc/", calls)
	mux.Handle("/", status)
	return mux
}

func (p *Process) replicaConfig(lead func(replica.Leadership)) replica.Config {
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
		Logger:        p.base.Logger,
		Registerer:    p.base.Registry,
		Lead:          lead,
	}
}

// Handler serves the calls between processes, health and metrics; a program
// that embeds the process may serve more beside it, on the same address.
func (p *Process) Handler() http.Handler { return p.handler }

// SetHandler replaces the handler. It must be called before Run.
func (p *Process) SetHandler(handler http.Handler) { p.handler = handler }

// Run serves, on extra listeners too, until the context ends or a signal stops
// the process. Before it stops serving, the replica transfers leadership and voter slot.
func (p *Process) Run(ctx context.Context, extra ...daemon.Listener) error {
	defer setProcessors(p.initial.Processors)()
	config := p.base.Daemon(p.readiness(), p.replica.Run)
	config.Wrap = rpc.WithKeepAlive
	config.Handler = p.calls.WithFallback(p.handler)
	config.Extra = extra
	config.BeforeStop = p.replica.PrepareShutdown
	err := daemon.Run(ctx, config)
	for _, client := range append(p.gatewayClients, p.client) {
		client.Close()
	}
	return errors.Join(err, p.store.Close())
}

// apply applies what can change while the process runs.
func (p *Process) apply(changed settings.Scheduler) {
	p.setWallOffset(changed)
	p.replica.SetSeeds(changed.Seeds)
	p.replica.SetZone(changed.Zone)
}

func (p *Process) setWallOffset(changed settings.Scheduler) {
	p.wallOffset.Store(int64(changed.Test.WallClockOffset.Std()))
}

// readiness: a scheduler is ready while it knows a leader.
func (p *Process) readiness() process.Readiness {
	return process.Readiness{
		Component: logComponent,
		Unready:   "no leader is known",
		Ready: func() bool {
			_, known := p.replica.Leader()
			return known
		},
	}
}
