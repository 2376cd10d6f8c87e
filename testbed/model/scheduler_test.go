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
	// snapshotEvery is small, so that snapshots and their transfer happen in a
	// scenario, and keptEntries stay in the log behind one.
	snapshotEvery = 400
	keptEntries   = 50
	// handOverTimeout bounds the transfer of the leadership and of a voter slot.
	handOverTimeout = 2 * time.Second
)

// schedulerMachine is a machine with a disk; processes on it come and go.
type schedulerMachine struct {
	fleet   *fleet
	name    string
	zone    string
	address string
	// mayForm: it may bootstrap the cluster, as its address is among the seeds.
	mayForm bool
	// disks counts the disks that it had.
	disks      int
	store      *storage.Memory
	wallOffset atomic.Int64

	mutex   sync.Mutex
	replica *replica.Replica
	stop    func()
}

// newDisk gives the machine an empty disk.
func (m *schedulerMachine) newDisk() {
	m.disks++
	m.store = storage.NewMemory(int64(m.fleet.seedOf(fmt.Sprint(m.name, " disk ", m.disks))))
}

// start runs a process on the machine.
func (m *schedulerMachine) start() {
	f := m.fleet
	client := rpc.NewClient(rpc.ClientConfig{Dialer: f.network.dialer(m.name)})
	logger := slog.New(f.logs).With("scheduler", m.name)
	service := scheduler.NewService(scheduler.Config{
		Archive:          m.store.Archive(),
		NewPlanner:       func() scheduler.Planner { return placement.New(placement.Config{DisabledFeatures: f.shape.off}) },
		DisabledFeatures: f.shape.off,
		Logger:           logger,
		Registerer:       prometheus.NewRegistry(),
	})
	made, err := replica.New(replica.Config{
		Name: m.name, Zone: m.zone, Address: m.address, Seeds: f.seeds,
		Store: m.store, Record: record.NewMachine(record.Config{Archive: m.store.Archive()}), Client: client,
		JoinOnly: !m.mayForm, MaxVoters: 2*f.shape.tolerate + 1,
		WallClock:     func() time.Time { return time.Now().Add(time.Duration(m.wallOffset.Load())) },
		SnapshotEvery: snapshotEvery, RetainedEntries: keptEntries, Logger: logger, Lead: service.Lead,
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
			f.t.Errorf("%s ended by itself: %v", m.name, err)
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
	f.fault(calllog.Entry{Process: m.name, Action: calllog.ActionStart})
}

// kill ends the process at once.
func (m *schedulerMachine) kill() {
	m.mutex.Lock()
	stop := m.stop
	m.stop = nil
	m.mutex.Unlock()
	if stop == nil {
		return
	}
	m.fleet.fault(calllog.Entry{Process: m.name, Action: calllog.ActionExit, Expected: true})
	stop()
}

// losePower ends the process and loses what was not synced.
func (m *schedulerMachine) losePower() {
	m.kill()
	m.store.Crash()
}

// terminate has the process transfer its leadership and end.
func (m *schedulerMachine) terminate() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	m.running().PrepareShutdown(ctx)
	m.kill()
}

// running returns the newest process's replica.
func (m *schedulerMachine) running() *replica.Replica {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.replica
}

func (m *schedulerMachine) up() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stop != nil
}

// leads reports whether the machine acts under its leader lease.
func (m *schedulerMachine) leads() bool {
	if !m.up() {
		return false
	}
	status := m.running().Status()
	return status.TermReady && m.running().HoldsLease(status.Term)
}

// membership is the newest membership that the machine knows.
func (m *schedulerMachine) membership() raft.Membership { return m.running().Status().Membership }
