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
	// Program is the name of the scheduler's program.
	Program = "decklever-scheduler"
	// logPart is the part in /readyz for the replicated log.
	logPart = "log"
)

// Process is a scheduler with all its components. Run must be called only once.
type Process struct {
	initial settings.Scheduler
	base    *process.Base[settings.Scheduler]
	// wallOffset, in nanoseconds, is added to the wall clock. Only tests set it.
	wallOffset atomic.Int64
	store      storage.Store
	client     *rpc.Client
	replica    *replica.Replica
	calls      *rpc.Server
	handler    http.Handler
	// gatewayClients are the clients of the gateways; Run closes them before it returns.
	gatewayClients []*rpc.Client
}

// New opens the data folder and creates a Process. It does not start the replica or serve
// requests.
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

// baseConfig returns the configuration of the parts that all processes have in common.
func baseConfig(initial settings.Scheduler, options settings.LoadOptions) process.BaseConfig[settings.Scheduler] {
	return process.BaseConfig[settings.Scheduler]{
		Program: Program,
		Initial: initial,
		Options: options,
		Common:  func(s *settings.Scheduler) *settings.Common { return &s.Common },
	}
}

// assemble creates and connects the record, the replica, the service that runs while the
// replica leads, and the handler.
func (p *Process) assemble(store storage.Store) error {
	p.store = store
	disabledFeatures, err := featuregate.Parse(p.initial.Experiment.DisabledFeatures)
	if err != nil {
		return err
	}
	p.client = rpc.NewClient(rpc.ClientConfig{Dialer: rpc.DialFrom(p.initial.Source), Metrics: p.base.CallMetrics})
	service := scheduler.NewService(scheduler.Config{
		Archive:          p.store.Archive(),
		ArchiveBytes:     p.initial.ArchiveMaxBytes,
		NewPlanner:       func() scheduler.Planner { return placement.New(placement.Config{DisabledFeatures: disabledFeatures}) },
		DisabledFeatures: disabledFeatures,
		Logger:           p.base.Logger,
		Registerer:       p.base.Registry,
	})
	newReplica, err := replica.New(p.replicaConfig(withGCPercent(p.initial.LeaderGCPercent, service.Lead)))
	if err != nil {
		return fmt.Errorf("make the replica: %w", err)
	}
	p.replica = newReplica
	service.SetLog(newReplica)
	server := rpc.NewServer(rpc.ServerConfig{Logger: p.base.Logger, Metrics: p.base.CallMetrics})
	newReplica.Register(server)
	service.Register(server)
	p.calls = server
	p.handler = routes(server, p.base.Status())
	p.base.CheckHealth(p.readiness())
	return nil
}

// routes returns a handler that serves calls between processes, health and metrics.
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
		Address: p.initial.AdvertisedAddress(),
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
		MaxVoters:     2*p.initial.ToleratedFailures + 1,
		Logger:        p.base.Logger,
		Registerer:    p.base.Registry,
		Lead:          lead,
	}
}

// Handler returns the handler for calls between processes, health and metrics. A program
// that embeds the process may wrap it to serve more on the same address (see SetHandler).
func (p *Process) Handler() http.Handler { return p.handler }

// SetHandler replaces the handler. It must be called before Run.
func (p *Process) SetHandler(handler http.Handler) { p.handler = handler }

// Run serves the scheduler, and the extra listeners, until ctx ends or a signal stops the
// process. Before Run stops serving, the replica transfers its leadership and voter slot.
// Run closes the clients and the store before it returns.
func (p *Process) Run(ctx context.Context, extra ...daemon.Listener) error {
	defer setProcessors(p.initial.Processors)()
	config := p.base.DaemonConfig(p.readiness(), p.replica.Run)
	config.WrapListener = rpc.WithKeepAlive
	config.Handler = p.calls.WithFallback(p.handler)
	config.ExtraListeners = extra
	config.BeforeStop = p.replica.PrepareShutdown
	err := daemon.Run(ctx, config)
	for _, client := range append(p.gatewayClients, p.client) {
		client.Close()
	}
	return errors.Join(err, p.store.Close())
}

// apply applies the settings that can change while the process runs.
func (p *Process) apply(changed settings.Scheduler) {
	p.setWallOffset(changed)
	p.replica.SetSeeds(changed.Seeds)
	p.replica.SetZone(changed.Zone)
}

func (p *Process) setWallOffset(changed settings.Scheduler) {
	p.wallOffset.Store(int64(changed.Test.WallClockOffset.Std()))
}

// readiness returns the readiness of a scheduler, which is ready while it knows a leader.
func (p *Process) readiness() process.Readiness {
	return process.Readiness{
		Part:          logPart,
		UnreadyReason: "no leader is known",
		Ready: func() bool {
			_, known := p.replica.Leader()
			return known
		},
	}
}
