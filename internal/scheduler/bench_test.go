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

// The size that docs/CAPACITY.md is made for.
const (
	benchWorkers = 1200
	benchTasks   = 22_000
	benchJob     = 50
	benchSlots   = 25
)

// benchLog applies each command at once, and always leads.
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

// benchFleet is a leader with all workers and tasks running.
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
			Capacity: api.Resources{CPUMillis: benchSlots * 1000, MemoryMB: benchSlots},
			Labels:   map[string]string{"zone": fmt.Sprintf("z%d", number%8)},
		})
	}
	// While no worker is known the leader cannot look for impossible tasks, which
	// would take most of the time of this set-up.
	for range benchTasks / benchJob {
		f.submit()
	}
	f.round()
	f.place()
	f.round()
	f.round()
	return f
}

// submit submits one job.
func (f *benchFleet) submit() {
	step := api.StepSpec{Name: "s"}
	for range benchJob {
		step.Tasks = append(step.Tasks, api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 1000, MemoryMB: 1}})
	}
	f.jobs++
	request := protocol.SubmitRequest{ID: fmt.Sprintf("job-%06d", f.jobs), Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{step}}}
	if _, err := f.leader.submit(f.b.Context(), request); err != nil {
		f.b.Fatal(err)
	}
}

func (f *benchFleet) place() {
	for f.leader.commitPlacements() {
	}
	f.leader.proposePending()
}

// round lets each worker exchange one heartbeat.
func (f *benchFleet) round() {
	f.now += 100 * time.Millisecond
	for number := range f.workers {
		f.heartbeat(number)
	}
}

// heartbeat exchanges one heartbeat: its assignments then run.
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

// end reports the oldest run of a worker as succeeded with the next heartbeat.
func (f *benchFleet) end(number int) {
	heartbeat := &f.workers[number]
	heartbeat.Ended = []api.EndedRun{{RunRef: heartbeat.Running[0], Outcome: api.OutcomeSucceeded}}
	heartbeat.Running = append([]api.RunRef(nil), heartbeat.Running[1:]...)
}

// BenchmarkHeartbeat is one heartbeat that lists about 18 runs and changes
// nothing.
func BenchmarkHeartbeat(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		f.heartbeat(number % benchWorkers)
	}
}

// BenchmarkTaskCycle is all of the leader's work for one task but the log: its
// part of the submission, the placement, the order, the report and the
// closing.
func BenchmarkTaskCycle(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		worker := number % benchWorkers
		if number%benchJob == 0 {
			f.submit()
		}
		for len(f.workers[worker].Running) == 0 {
			worker = (worker + 1) % benchWorkers
		}
		f.end(worker)
		f.heartbeat(worker)
		f.place()
		f.heartbeat(worker)
	}
}

// BenchmarkSubmit is the submission of a job of 50 tasks while 1,200 workers are
// known, and the placement of its tasks.
func BenchmarkSubmit(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.submit()
	}
}

// BenchmarkTick is one review of all leases, drains and timers; there are 20 a
// second.
func BenchmarkTick(b *testing.B) {
	f := newBenchFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.leader.tick()
	}
}

// BenchmarkLoseZone is the expiry of the leases of an eighth of the workers with their runs:
// what the loss of a zone costs the leader at once.
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

// BenchmarkLoad is the start of a term on a full record.
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
