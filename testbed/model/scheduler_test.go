package model

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/scheduler"
	"github.com/decklever/decklever/internal/storage"
	"github.com/decklever/decklever/testbed/calllog"
)

const (
	// snapshotInterval is the number of log entries between snapshots. It is small so that
	// scenarios include snapshots and their transfer. retainedEntries is the number of
	// entries that stay in the log behind a snapshot.
	snapshotInterval = 400
	retainedEntries  = 50
	// transferTimeout bounds the transfer of leadership and of the voter slot before a
	// process ends.
	transferTimeout = 2 * time.Second
)

// schedulerMachine is a machine with a disk on which at most one scheduler process runs at
// a time. mutex guards replica and stop; stop is nil while no process runs.
type schedulerMachine struct {
	fleet   *fleet
	name    string
	zone    string
	address string
	// mayBootstrap says that the machine may bootstrap the cluster, because its address is
	// one of the seeds.
	mayBootstrap bool
	// diskCount is the number of disks that the machine has had, including the current one.
	diskCount  int
	store      *storage.Memory
	wallOffset atomic.Int64

	mutex   sync.Mutex
	replica *replica.Replica
	stop    func()
}

// newDisk gives the machine an empty disk.
func (m *schedulerMachine) newDisk() {
	m.diskCount++
	m.store = storage.NewMemory(int64(m.fleet.seedOf(fmt.Sprint(m.name, " disk ", m.diskCount))))
}

// start starts a scheduler process on the machine.
func (m *schedulerMachine) start() {
	f := m.fleet
	client := rpc.NewClient(rpc.ClientConfig{Dialer: f.network.dialer(m.name)})
	logger := slog.New(f.logs).With("scheduler", m.name)
	service := scheduler.NewService(scheduler.Config{
		Archive: m.store.Archive(),
		NewPlanner: func() scheduler.Planner {
			return placement.New(placement.Config{DisabledFeatures: f.shape.disabledFeatures})
		},
		DisabledFeatures: f.shape.disabledFeatures,
		Logger:           logger,
		Registerer:       prometheus.NewRegistry(),
	})
	made, err := replica.New(replica.Config{
		Name: m.name, Zone: m.zone, Address: m.address, Seeds: f.seeds,
		Store: m.store, Record: record.NewMachine(record.Config{Archive: m.store.Archive()}), Client: client,
		JoinOnly: !m.mayBootstrap, MaxVoters: 2*f.shape.toleratedLosses + 1,
		WallClock:     func() time.Time { return time.Now().Add(time.Duration(m.wallOffset.Load())) },
		SnapshotEvery: snapshotInterval, RetainedEntries: retainedEntries, Logger: logger, Lead: service.Lead,
	})
	if err != nil {
		f.t.Error(err)
		return
	}
	service.SetLog(made)
	server := rpc.NewServer(rpc.ServerConfig{})
	made.Register(server)
	service.Register(server)
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	listener := f.network.listen(m.name, m.address)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = httpServer.Serve(listener) })
	running.Go(func() {
		if err := made.Run(ctx); err != nil {
			f.t.Errorf("%s ended unexpectedly: %v", m.name, err)
		}
	})
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.replica = made
	m.stop = func() {
		cancel()
		_ = httpServer.Close()
		f.network.reset(m.name)
		running.Wait()
		client.Close()
	}
	f.recordFault(calllog.Entry{Process: m.name, Action: calllog.ActionStart})
}

// kill ends the process immediately; it does nothing if none runs.
func (m *schedulerMachine) kill() {
	m.mutex.Lock()
	stop := m.stop
	m.stop = nil
	m.mutex.Unlock()
	if stop == nil {
		return
	}
	m.fleet.recordFault(calllog.Entry{Process: m.name, Action: calllog.ActionExit, Expected: true})
	stop()
}

// losePower ends the process and discards the data that was not synced.
func (m *schedulerMachine) losePower() {
	m.kill()
	m.store.Crash()
}

// terminate makes the process transfer its leadership and voter slot and then end.
func (m *schedulerMachine) terminate() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	m.currentReplica().PrepareShutdown(ctx)
	m.kill()
}

// currentReplica returns the replica of the newest process, which may have ended.
func (m *schedulerMachine) currentReplica() *replica.Replica {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.replica
}

func (m *schedulerMachine) isRunning() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stop != nil
}

// isLeader reports whether the replica is ready to lead its term and holds the lease.
func (m *schedulerMachine) isLeader() bool {
	if !m.isRunning() {
		return false
	}
	status := m.currentReplica().Status()
	return status.TermReady && m.currentReplica().HoldsLease(status.Term)
}

// membership returns the newest membership that the replica knows.
func (m *schedulerMachine) membership() raft.Membership {
	return m.currentReplica().Status().Membership
}
