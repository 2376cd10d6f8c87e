package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/storage"
)

// Cluster size that docs/CAPACITY.md is written for.
const (
	benchWorkers        = 1200
	benchTasks          = 22_000
	benchTasksPerJob    = 50
	benchSlotsPerWorker = 25
)

// benchLog is a log that applies each command at once and always holds the lease.
type benchLog struct {
	machine *record.Machine
	index   uint64
	clock   record.Millis
}

func (l *benchLog) Propose(_ context.Context, token uint64, command record.Command) (record.Result, error) {
	command.Time, command.Token = l.clock, token
	data, err := record.Encode(command)
	if err != nil {
		return record.Result{}, err
	}
	l.index++
	return l.machine.Apply(l.index, data)
}

func (l *benchLog) HoldsLease(uint64) bool            { return true }
func (l *benchLog) ReadBarrier(context.Context) error { return nil }
func (l *benchLog) Now() record.Millis                { return l.clock }
func (l *benchLog) Record() *record.Machine           { return l.machine }
func (l *benchLog) Status() raft.Status               { return raft.Status{} }
func (l *benchLog) Leader() (raft.Member, bool)       { return raft.Member{Address: "127.0.0.9:1"}, true }

// benchFleet is a leader with benchWorkers workers, which run benchTasks tasks.
type benchFleet struct {
	b       *testing.B
	log     *benchLog
	leader  *leader
	now     time.Duration
	workers []api.Heartbeat
	jobs    int
}

func newBenchFleet(b *testing.B) *benchFleet {
	b.Helper()
	archive := storage.NewMemoryArchive()
	log := &benchLog{machine: record.NewMachine(record.Config{Archive: archive}), clock: 1_700_000_000_000}
	f := &benchFleet{b: b, log: log, now: time.Hour}
	f.leader = newLeader(leaderConfig{
		Log: log, Archive: archive, Planner: placement.New(placement.Config{}),
		Logger: slog.New(slog.DiscardHandler), Metrics: newMetrics(prometheus.NewRegistry()),
		Now:        func() time.Duration { return f.now },
		Leadership: replica.Leadership{Token: 1, Context: b.Context()},
	})
	b.Cleanup(log.machine.Observe(f.leader.load, f.leader.handleEvent))
	request := protocol.PutConfigRequest{OrderID: "first", Config: api.Config{Queues: []api.QueueConfig{{Name: "q"}}}}
	if _, err := f.leader.putConfig(b.Context(), request); err != nil {
		b.Fatal(err)
	}
	for number := range benchWorkers {
		f.workers = append(f.workers, api.Heartbeat{
			WorkerID: fmt.Sprintf("id-%04d", number), Name: fmt.Sprintf("worker-%04d", number), Services: []string{"s"},
			Capacity: api.Resources{CPUMillis: benchSlotsPerWorker * 1000, MemoryMB: benchSlotsPerWorker},
			Labels:   map[string]string{"zone": fmt.Sprintf("z%d", number%8)},
		})
	}
	// The jobs are submitted while no worker is known, since the leader then skips the
	// check for infeasible tasks, which would take most of the set-up time.
	for range benchTasks / benchTasksPerJob {
		f.submit()
	}
	f.exchangeAll()
	f.place()
	f.exchangeAll()
	f.exchangeAll()
	return f
}

// submit submits one job of benchTasksPerJob tasks.
func (f *benchFleet) submit() {
	step := api.StepSpec{Name: "s"}
	for range benchTasksPerJob {
		step.Tasks = append(step.Tasks, api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 1000, MemoryMB: 1}})
	}
	f.jobs++
	request := protocol.SubmitRequest{ID: fmt.Sprintf("job-%06d", f.jobs), Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{step}}}
	if _, err := f.leader.submit(f.b.Context(), request); err != nil {
		f.b.Fatal(err)
	}
}

// place places all tasks that fit, and commits the leader's own commands.
func (f *benchFleet) place() {
	for f.leader.commitPlacements() {
	}
	f.leader.proposePending()
}

// exchangeAll advances the clock by 100 ms and exchanges one heartbeat with each worker.
func (f *benchFleet) exchangeAll() {
	f.now += 100 * time.Millisecond
	for number := range f.workers {
		f.heartbeat(number)
	}
}

// heartbeat exchanges one heartbeat; the worker then runs its assignments.
func (f *benchFleet) heartbeat(number int) {
	heartbeat := &f.workers[number]
	heartbeat.Seq++
	request := protocol.HeartbeatRequest{Agent: "a", Zone: heartbeat.Labels["zone"], Heartbeat: *heartbeat}
	answer, err := f.leader.heartbeat(f.b.Context(), request)
	if err != nil {
		f.b.Fatal(err)
	}
	heartbeat.AcceptedSeq = heartbeat.Seq
	heartbeat.Ended = nil
	for _, order := range answer.Answer.Start {
		heartbeat.Running = append(heartbeat.Running, order.RunRef)
	}
}

// reportOldestEnded makes a worker's next heartbeat report its oldest run as succeeded.
func (f *benchFleet) reportOldestEnded(number int) {
	heartbeat := &f.workers[number]
	heartbeat.Ended = []api.EndedRun{{RunRef: heartbeat.Running[0], Outcome: api.OutcomeSucceeded}}
	heartbeat.Running = append([]api.RunRef(nil), heartbeat.Running[1:]...)
}

// BenchmarkHeartbeat measures one heartbeat that lists about 18 runs and reports no
// change.
func BenchmarkHeartbeat(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		f.heartbeat(number % benchWorkers)
	}
}

// BenchmarkTaskCycle measures all of the leader's work for one task except for the
// log: its part of the submission, the placement, the assignment, the report and the
// closing.
func BenchmarkTaskCycle(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		worker := number % benchWorkers
		if number%benchTasksPerJob == 0 {
			f.submit()
		}
		for len(f.workers[worker].Running) == 0 {
			worker = (worker + 1) % benchWorkers
		}
		f.reportOldestEnded(worker)
		f.heartbeat(worker)
		f.place()
		f.heartbeat(worker)
	}
}

// BenchmarkSubmit measures the submission of a job of 50 tasks while 1,200 workers are
// known. The tasks are not placed.
func BenchmarkSubmit(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.submit()
	}
}

// BenchmarkTick measures one check of all leases, drains and timers; there are 20 per
// second.
func BenchmarkTick(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.leader.tick()
	}
}

// BenchmarkLoseZone measures the immediate cost of the loss of a zone: the leases of an
// eighth of the workers expire, and their runs are closed and placed again.
func BenchmarkLoseZone(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		f := newBenchFleet(b)
		f.now += 3*time.Second - 100*time.Millisecond
		for number := range f.workers {
			if number%8 != 0 {
				f.heartbeat(number)
			}
		}
		f.now += time.Second
		b.StartTimer()
		f.leader.tick()
		f.leader.proposePending()
		f.place()
	}
}

// BenchmarkLoad measures the start of a term on a full record.
func BenchmarkLoad(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		next := newLeader(leaderConfig{
			Log: f.log, Archive: f.leader.archive, Planner: placement.New(placement.Config{}),
			Logger: slog.New(slog.DiscardHandler), Metrics: newMetrics(prometheus.NewRegistry()),
			Now:        func() time.Duration { return f.now },
			Leadership: replica.Leadership{Token: 2, Context: b.Context()},
		})
		f.log.machine.Observe(next.load, next.handleEvent)()
	}
}
