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
	// heartbeatingWorkers is the number of workers. Each sends a heartbeat every
	// heartbeatInterval, so that some heartbeats are in flight during each sync.
	heartbeatingWorkers = 20
	heartbeatInterval   = 10 * time.Millisecond
	// heartbeatDuration is how long heartbeats are sent.
	heartbeatDuration = 2 * time.Second
	// minServedSyncPercent is the minimum percentage of syncs during which heartbeats must
	// be answered. With GOMAXPROCS 1 it would be 0.
	minServedSyncPercent = 25
	// maxMedianLatency bounds the median latency of heartbeats that wait for no commit.
	maxMedianLatency = 25 * time.Millisecond
)

// blockingStore is a store whose syncs occupy the processor (P) of their thread for
// syncDuration. A sync on a real disk does the same if the Go runtime's monitor does not
// retake the processor in time.
type blockingStore struct {
	*storage.Memory
	syncDuration time.Duration
	// answered counts heartbeats that were answered.
	answered *atomic.Int64
	// syncs counts the syncs, and served counts those during which a heartbeat was
	// answered.
	syncs, served atomic.Int64
}

func (s *blockingStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if sync {
		before := s.answered.Load()
		for start := time.Now(); time.Since(start) < s.syncDuration; {
			continue // does not yield to other goroutines, like a thread inside the kernel
		}
		s.syncs.Add(1)
		if s.answered.Load() > before {
			s.served.Add(1)
		}
	}
	return s.Memory.Save(hardState, entries, sync)
}

// newTestProcess creates the process of a scheduler with the given store.
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

// runProcess starts the process and stops it at the end of the test.
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

// heartbeatingWorker is a worker whose runs succeed immediately.
type heartbeatingWorker struct {
	client    *rpc.Client
	heartbeat api.Heartbeat
	// latencies are those of heartbeats without ended runs, after the first answered one.
	latencies []time.Duration
	answered  *atomic.Int64
}

// sendHeartbeat sends one heartbeat. The next one reports the runs assigned by its answer
// as succeeded.
func (w *heartbeatingWorker) sendHeartbeat(ctx context.Context, address string) {
	w.heartbeat.Seq++
	start := time.Now()
	request := protocol.HeartbeatRequest{Agent: w.heartbeat.Name, Zone: "z1", Heartbeat: w.heartbeat}
	answer, err := rpc.Call[protocol.HeartbeatRequest, protocol.HeartbeatAnswer](ctx, w.client, address, protocol.MethodHeartbeat, request)
	if err != nil {
		return
	}
	w.answered.Add(1)
	if len(w.heartbeat.Ended) == 0 && w.heartbeat.AcceptedSeq > 0 {
		w.latencies = append(w.latencies, time.Since(start))
	}
	w.heartbeat.AcceptedSeq = answer.Answer.Seq
	w.heartbeat.Ended = slices.DeleteFunc(w.heartbeat.Ended, func(end api.EndedRun) bool {
		return slices.Contains(answer.Answer.Acknowledged, end.RunRef)
	})
	for _, order := range answer.Answer.Start {
		w.heartbeat.Ended = append(w.heartbeat.Ended, api.EndedRun{RunRef: order.RunRef, Outcome: api.OutcomeSucceeded})
	}
}

// load generates heartbeats and job submissions for a leader.
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

// run sends heartbeats and submits jobs for the duration.
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

// submitJobs submits small jobs one after another until ctx ends.
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

// configure puts a configuration, and retries until a leader has accepted it.
func (l *load) configure(address string) {
	l.t.Helper()
	request := protocol.PutConfigRequest{OrderID: "order-1", Config: api.Config{Queues: []api.QueueConfig{{Name: "q"}}}}
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(heartbeatInterval) {
		_, err := rpc.Call[protocol.PutConfigRequest, protocol.PutConfigAnswer](l.t.Context(), l.client, address, protocol.MethodPutConfig, request)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			l.t.Fatalf("put a configuration: %v", err)
		}
	}
}

// median returns the median latency over all workers; waitTimeout if there is none.
func (l *load) median() time.Duration {
	var all []time.Duration
	for _, worker := range l.workers {
		all = append(all, worker.latencies...)
	}
	if len(all) == 0 {
		return waitTimeout
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// useOneProcessor sets GOMAXPROCS to 1, as on a machine with one core, until the test ends.
func useOneProcessor(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// TestProcessors_HeartbeatsAnsweredDuringDiskSync guards against a leader that answers no
// heartbeats during disk syncs because the sync occupies the only processor. On one core,
// with a disk that syncs nearly all the time, heartbeats must be answered during syncs and
// no run may be withdrawn because of missed heartbeats.
func TestProcessors_HeartbeatsAnsweredDuringDiskSync(t *testing.T) {
	for _, syncDuration := range []time.Duration{4 * time.Millisecond, 9 * time.Millisecond} {
		t.Run(syncDuration.String(), func(t *testing.T) {
			useOneProcessor(t)
			l := newLoad(t)
			store := &blockingStore{Memory: storage.NewMemory(1), syncDuration: syncDuration, answered: &l.answered}
			p := newTestProcess(t, schedulerSettings(t, t.TempDir()), store)
			runProcess(t, p)
			l.configure(p.initial.Listen)
			l.run(p.initial.Listen, heartbeatDuration)
			checkHeartbeatsDuringSyncs(t, l, store)
			checkNoRunsWithdrawn(t, p)
		})
	}
}

// checkHeartbeatsDuringSyncs checks the share of syncs during which heartbeats were answered
// and the median latency of heartbeats.
func checkHeartbeatsDuringSyncs(t *testing.T, l *load, store *blockingStore) {
	t.Helper()
	syncs, served := store.syncs.Load(), store.served.Load()
	t.Logf("heartbeats were answered during %d of %d syncs; %d answered in total, median latency %v", served, syncs, l.answered.Load(), l.median())
	if syncs < 20 || 100*served < minServedSyncPercent*syncs {
		t.Errorf("got heartbeats answered during %d of %d syncs, want at least 20 syncs and at least %d%% of them", served, syncs, minServedSyncPercent)
	}
	if median := l.median(); median > maxMedianLatency {
		t.Errorf("got median heartbeat latency %v, want at most %v", median, maxMedianLatency)
	}
}

// checkNoRunsWithdrawn checks that no run was withdrawn from a worker because of missed
// heartbeats.
func checkNoRunsWithdrawn(t *testing.T, p *Process) {
	t.Helper()
	const name = "decklever_scheduler_runs_withdrawn_total"
	expected := "# HELP " + name + " Runs taken back from silent workers before any order named them.\n# TYPE " + name + " counter\n" + name + " 0\n"
	if err := testutil.GatherAndCompare(p.base.Registry, strings.NewReader(expected), name); err != nil {
		t.Error(err)
	}
}

// clusterSettings returns the settings of count schedulers that form one cluster.
func clusterSettings(t *testing.T, count int) []settings.Scheduler {
	t.Helper()
	schedulers := make([]settings.Scheduler, count)
	var seeds []string
	for i := range schedulers {
		schedulers[i] = schedulerSettings(t, t.TempDir())
		schedulers[i].Name = fmt.Sprintf("control-%d", i+1)
		seeds = append(seeds, schedulers[i].Listen)
	}
	for i := range schedulers {
		schedulers[i].Seeds = seeds
	}
	return schedulers
}

// TestProcessors_NewLeaderServesDuringDiskSync checks that a follower on one core with a
// slow disk, once it becomes leader, answers heartbeats during disk syncs as a scheduler
// that led from the start does.
func TestProcessors_NewLeaderServesDuringDiskSync(t *testing.T) {
	useOneProcessor(t)
	l := newLoad(t)
	store := &blockingStore{Memory: storage.NewMemory(1), syncDuration: 4 * time.Millisecond, answered: &l.answered}
	var processes []*Process
	for i, initial := range clusterSettings(t, 3) {
		var ownStore storage.Store = store
		if i > 0 {
			ownStore = storage.NewMemory(int64(i + 1))
		}
		processes = append(processes, newTestProcess(t, initial, ownStore))
		runProcess(t, processes[i])
	}
	l.configure(waitForLeader(t, processes).initial.Listen)
	follower := processes[0]
	for leader := waitForLeader(t, processes); leader != follower; leader = waitForLeader(t, processes) {
		l.run(leader.initial.Listen, 10*heartbeatInterval)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		leader.replica.PrepareShutdown(ctx)
		cancel()
	}
	store.syncs.Store(0)
	store.served.Store(0)
	l.run(follower.initial.Listen, heartbeatDuration)
	checkHeartbeatsDuringSyncs(t, l, store)
	checkNoRunsWithdrawn(t, follower)
}

// waitForLeader waits until one of the processes holds a leader's lease and returns it.
func waitForLeader(t *testing.T, processes []*Process) *Process {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(heartbeatInterval) {
		for _, p := range processes {
			if p.replica.HoldsLease(p.replica.Status().Term) {
				return p
			}
		}
	}
	t.Fatal("no process became leader")
	return nil
}
