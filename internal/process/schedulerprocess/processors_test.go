package schedulerprocess

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/process"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/storage"
)

const (
	// heartbeatingWorkers send a heartbeat each heartbeatInterval, so that some are in
	// flight during each sync.
	heartbeatingWorkers = 20
	heartbeatInterval   = 10 * time.Millisecond
	// heartbeatDuration is how long heartbeats are sent.
	heartbeatDuration = 2 * time.Second
	// minServedSyncPercent is the least percentage of syncs during which heartbeats are
	// answered; with one processor it is 0.
	minServedSyncPercent = 25
	// maxMedianResponse is the bound on the median of heartbeats that wait for no commit.
	maxMedianResponse = 25 * time.Millisecond
)

// blockingStore is a store on a disk whose syncs keep the thread, and with it the
// processor that the thread runs on, as a sync does that the runtime's monitor does
// not notice in time.
type blockingStore struct {
	*storage.Memory
	syncTakes time.Duration
	// answered counts heartbeats that were answered.
	answered *atomic.Int64
	// syncs counts the syncs, served those during which a heartbeat was answered.
	syncs, served atomic.Int64
}

func (s *blockingStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if sync {
		before := s.answered.Load()
		for began := time.Now(); time.Since(began) < s.syncTakes; {
			continue // as a thread inside the kernel, it yields to no other goroutine
		}
		s.syncs.Add(1)
		if s.answered.Load() > before {
			s.served.Add(1)
		}
	}
	return s.Memory.Save(hardState, entries, sync)
}

// newTestProcess makes the process of a scheduler with a given store.
func newTestProcess(t *testing.T, initial settings.Scheduler, store storage.Store) *Process {
	t.Helper()
	base, err := process.NewBase(baseConfig(initial, settings.LoadOptions{}))
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{initial: initial, base: base}
	if err := p.assemble(store); err != nil {
		t.Fatal(err)
	}
	return p
}

// runProcess runs the process until the test ends.
func runProcess(t *testing.T, p *Process) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("%s: %v", p.initial.Name, err)
		}
	})
}

// heartbeatingWorker is a worker whose tasks succeed at once.
type heartbeatingWorker struct {
	client    *rpc.Client
	heartbeat api.Heartbeat
	// took are the durations of heartbeats without a report.
	took     []time.Duration
	answered *atomic.Int64
}

// sendHeartbeat exchanges one heartbeat and ends the tasks that it is to start.
func (w *heartbeatingWorker) sendHeartbeat(ctx context.Context, address string) {
	w.heartbeat.Seq++
	began := time.Now()
	request := protocol.HeartbeatRequest{Agent: w.heartbeat.Name, Zone: "z1", Heartbeat: w.heartbeat}
	answer, err := rpc.Call[protocol.HeartbeatRequest, protocol.HeartbeatAnswer](ctx, w.client, address, protocol.MethodHeartbeat, request)
	if err != nil {
		return
	}
	w.answered.Add(1)
	if len(w.heartbeat.Ended) == 0 && w.heartbeat.AcceptedSeq > 0 {
		w.took = append(w.took, time.Since(began))
	}
	w.heartbeat.AcceptedSeq = answer.Answer.Seq
	w.heartbeat.Ended = slices.DeleteFunc(w.heartbeat.Ended, func(end api.EndedRun) bool {
		return slices.Contains(answer.Answer.Acknowledged, end.RunRef)
	})
	for _, order := range answer.Answer.Start {
		w.heartbeat.Ended = append(w.heartbeat.Ended, api.EndedRun{RunRef: order.RunRef, Outcome: api.OutcomeSucceeded})
	}
}

// load is the load on a leader while its disk syncs.
type load struct {
	t        *testing.T
	client   *rpc.Client
	answered atomic.Int64
	workers  []*heartbeatingWorker
}

func newLoad(t *testing.T) *load {
	t.Helper()
	l := &load{t: t, client: rpc.NewClient(rpc.ClientConfig{})}
	t.Cleanup(l.client.Close)
	for i := range heartbeatingWorkers {
		name := fmt.Sprintf("worker-%02d", i)
		l.workers = append(l.workers, &heartbeatingWorker{client: l.client, answered: &l.answered, heartbeat: api.Heartbeat{
			WorkerID: name + "-1", Name: name, Services: []string{"s"}, Capacity: api.Resources{CPUMillis: 4000, MemoryMB: 4000},
		}})
	}
	return l
}

// run sends heartbeats and submits jobs for a time.
func (l *load) run(address string, duration time.Duration) {
	ctx, cancel := context.WithTimeout(l.t.Context(), duration)
	defer cancel()
	var running sync.WaitGroup
	for _, worker := range l.workers {
		running.Go(func() {
			for ctx.Err() == nil {
				worker.sendHeartbeat(ctx, address)
				time.Sleep(heartbeatInterval)
			}
		})
	}
	running.Go(func() { l.submitJobs(ctx, address) })
	running.Wait()
}

// submitJobs submits one small job after the other.
func (l *load) submitJobs(ctx context.Context, address string) {
	task := api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 100, MemoryMB: 10}}
	for number := 0; ctx.Err() == nil; number++ {
		request := protocol.SubmitRequest{ID: fmt.Sprintf("job-%d-%d", time.Now().UnixNano(), number), Spec: api.JobSpec{
			Queue: "q", Steps: []api.StepSpec{{Name: "s", Tasks: []api.TaskSpec{task, task, task, task}}},
		}}
		_, _ = rpc.Call[protocol.SubmitRequest, protocol.SubmitAnswer](ctx, l.client, address, protocol.MethodSubmit, request)
		time.Sleep(heartbeatInterval)
	}
}

// configure puts a configuration; it waits until a leader is elected.
func (l *load) configure(address string) {
	l.t.Helper()
	request := protocol.PutConfigRequest{OrderID: "order-1", Config: api.Config{Queues: []api.QueueConfig{{Name: "q"}}}}
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(heartbeatInterval) {
		_, err := rpc.Call[protocol.PutConfigRequest, protocol.PutConfigAnswer](l.t.Context(), l.client, address, protocol.MethodPutConfig, request)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			l.t.Fatalf("no configuration: %v", err)
		}
	}
}

// median is that of the durations of all workers.
func (l *load) median() time.Duration {
	var all []time.Duration
	for _, worker := range l.workers {
		all = append(all, worker.took...)
	}
	if len(all) == 0 {
		return waitTimeout
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// useOneProcessor runs the test as on a machine with one core.
func useOneProcessor(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// TestProcessors_HeartbeatsAnsweredDuringDiskSync: on one core, with a disk that syncs
// nearly all the time, heartbeats are answered during the syncs, and no lease expires.
func TestProcessors_HeartbeatsAnsweredDuringDiskSync(t *testing.T) {
	for _, syncTakes := range []time.Duration{4 * time.Millisecond, 9 * time.Millisecond} {
		t.Run(syncTakes.String(), func(t *testing.T) {
			useOneProcessor(t)
			l := newLoad(t)
			store := &blockingStore{Memory: storage.NewMemory(1), syncTakes: syncTakes, answered: &l.answered}
			p := newTestProcess(t, schedulerSettings(t, t.TempDir()), store)
			runProcess(t, p)
			l.configure(p.initial.Listen)
			l.run(p.initial.Listen, heartbeatDuration)
			checkHeartbeatsDuringSyncs(t, l, store)
			checkHeartbeatsOfAll(t, p)
		})
	}
}

// checkHeartbeatsDuringSyncs compares what was observed with the bounds.
func checkHeartbeatsDuringSyncs(t *testing.T, l *load, store *blockingStore) {
	t.Helper()
	syncs, served := store.syncs.Load(), store.served.Load()
	t.Logf("%d of %d syncs saw heartbeats answered; %d answered, median %v", served, syncs, l.answered.Load(), l.median())
	if syncs < 20 || 100*served < minServedSyncPercent*syncs {
		t.Errorf("heartbeats were answered during %d of %d syncs, want %d%% at least", served, syncs, minServedSyncPercent)
	}
	if median := l.median(); median > maxMedianResponse {
		t.Errorf("heartbeats took %v (median), want %v at most", median, maxMedianResponse)
	}
}

// checkHeartbeatsOfAll checks that no run was revoked for missed heartbeats.
func checkHeartbeatsOfAll(t *testing.T, p *Process) {
	t.Helper()
	const name = "decklever_scheduler_runs_withdrawn_total"
	expected := "# HELP " + name + " Runs taken back from silent workers before any order named them.\n# TYPE " + name + " counter\n" + name + " 0\n"
	if err := testutil.GatherAndCompare(p.base.Registry, strings.NewReader(expected), name); err != nil {
		t.Error(err)
	}
}

// clusterSettings returns the settings of schedulers that form one cluster.
func clusterSettings(t *testing.T, count int) []settings.Scheduler {
	t.Helper()
	made := make([]settings.Scheduler, count)
	var seeds []string
	for i := range made {
		made[i] = schedulerSettings(t, t.TempDir())
		made[i].Name = fmt.Sprintf("control-%d", i+1)
		seeds = append(seeds, made[i].Listen)
	}
	for i := range made {
		made[i].Seeds = seeds
	}
	return made
}

// TestProcessors_NewLeaderServesDuringDiskSync: a follower on such a machine that becomes
// leader serves as well as one that started there.
func TestProcessors_NewLeaderServesDuringDiskSync(t *testing.T) {
	useOneProcessor(t)
	l := newLoad(t)
	store := &blockingStore{Memory: storage.NewMemory(1), syncTakes: 4 * time.Millisecond, answered: &l.answered}
	var processes []*Process
	for i, initial := range clusterSettings(t, 3) {
		var ownStore storage.Store = store
		if i > 0 {
			ownStore = storage.NewMemory(int64(i + 1))
		}
		processes = append(processes, newTestProcess(t, initial, ownStore))
		runProcess(t, processes[i])
	}
	l.configure(leaderAmong(t, processes).initial.Listen)
	follower := processes[0]
	for leading := leaderAmong(t, processes); leading != follower; leading = leaderAmong(t, processes) {
		l.run(leading.initial.Listen, 10*heartbeatInterval)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		leading.replica.PrepareShutdown(ctx)
		cancel()
	}
	store.syncs.Store(0)
	store.served.Store(0)
	l.run(follower.initial.Listen, heartbeatDuration)
	checkHeartbeatsDuringSyncs(t, l, store)
	checkHeartbeatsOfAll(t, follower)
}

// leaderAmong waits until one of the processes leads.
func leaderAmong(t *testing.T, processes []*Process) *Process {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(heartbeatInterval) {
		for _, p := range processes {
			if p.replica.HoldsLease(p.replica.Status().Term) {
				return p
			}
		}
	}
	t.Fatal("there is no leader")
	return nil
}
