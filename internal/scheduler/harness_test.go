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

const (
	testLease       = 3 * time.Second
	testDriftMargin = 300 * time.Millisecond
)

// fakeLog is the log of a single replica, which leads while lease is true. It applies
// each command at once.
type fakeLog struct {
	t          *testing.T
	machine    *record.Machine
	index      uint64
	clock      record.Millis
	holdsLease bool
	// overloaded makes all proposals fail with replica.ErrOverloaded.
	overloaded bool
	// duringProposal, if not nil, is called while a proposal is being committed.
	duringProposal func()
}

// Propose fails, as a replica does, if the caller's context is done.
func (f *fakeLog) Propose(ctx context.Context, token uint64, command record.Command) (record.Result, error) {
	f.t.Helper()
	if ctx.Err() != nil || f.overloaded {
		return record.Result{}, replica.ErrOverloaded
	}
	if f.duringProposal != nil {
		f.duringProposal()
	}
	if !f.holdsLease {
		return record.Result{}, replica.ErrNotLeader
	}
	command.Time, command.Token = f.clock, token
	data, err := record.Encode(command)
	if err != nil {
		f.t.Fatalf("encode command: %v", err)
	}
	f.index++
	result, err := f.machine.Apply(f.index, data)
	if err != nil {
		f.t.Fatalf("apply command: %v", err)
	}
	return result, nil
}

func (f *fakeLog) HoldsLease(uint64) bool            { return f.holdsLease }
func (f *fakeLog) ReadBarrier(context.Context) error { return nil }
func (f *fakeLog) Now() record.Millis                { return f.clock }
func (f *fakeLog) Record() *record.Machine           { return f.machine }
func (f *fakeLog) Status() raft.Status               { return raft.Status{} }
func (f *fakeLog) Leader() (raft.Member, bool)       { return raft.Member{Address: "127.0.0.9:1"}, true }

// harness drives a leader step by step, without the leader's loops.
type harness struct {
	t             *testing.T
	log           *fakeLog
	archive       record.Archive
	now           time.Duration
	leader        *leader
	token         uint64
	stopObserving func()
	workers       map[string]*fakeWorker
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	archive := storage.NewMemoryArchive()
	machine := record.NewMachine(record.Config{Archive: archive})
	h := &harness{
		t: t, archive: archive, now: time.Hour, workers: map[string]*fakeWorker{},
		log: &fakeLog{t: t, machine: machine, clock: 1_700_000_000_000, holdsLease: true},
	}
	h.newTerm()
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}}})
	return h
}

// newTerm replaces the leader by a leader of the next term.
func (h *harness) newTerm() {
	if h.stopObserving != nil {
		h.stopObserving()
	}
	h.token++
	h.leader = newLeader(leaderConfig{
		Log: h.log, Archive: h.archive, Planner: placement.New(placement.Config{}),
		Logger: slog.New(slog.DiscardHandler), Metrics: newMetrics(prometheus.NewRegistry()),
		Now:        func() time.Duration { return h.now },
		Leadership: replica.Leadership{Token: h.token, Context: h.t.Context()},
	})
	h.stopObserving = h.log.machine.Observe(h.leader.load, h.leader.handleEvent)
}

// advance advances all clocks and then calls settle.
func (h *harness) advance(elapsed time.Duration) {
	h.now += elapsed
	h.log.clock += record.MillisOf(elapsed)
	h.settle()
}

// settle does the work of the leader's loops: a tick, and proposals and placements until
// nothing is left to place.
func (h *harness) settle() {
	h.leader.tick()
	h.leader.proposePending()
	for h.leader.commitPlacements() {
		h.leader.proposePending()
	}
	h.leader.proposePending()
}

func (h *harness) putConfig(config api.Config) {
	h.t.Helper()
	version := h.leader.settings.version
	request := protocol.PutConfigRequest{OrderID: fmt.Sprintf("order-%d", version), Base: version, Config: config}
	if _, err := h.leader.putConfig(h.t.Context(), request); err != nil {
		h.t.Fatalf("put config: %v", err)
	}
	h.settle()
}

func (h *harness) submit(id string, steps ...api.StepSpec) {
	h.t.Helper()
	h.submitSpec(id, api.JobSpec{Queue: "q", Steps: steps})
}

func (h *harness) submitSpec(id string, spec api.JobSpec) {
	h.t.Helper()
	request := protocol.SubmitRequest{ID: id, Spec: spec}
	answer, err := h.leader.submit(h.t.Context(), request)
	if err != nil || !answer.Created {
		h.t.Fatalf("submit %s: got answer %+v, error %v, want a new job", id, answer, err)
	}
	h.settle()
}

func (h *harness) status(id string) api.JobStatus {
	h.t.Helper()
	status, err := h.leader.status(id, false)
	if err != nil {
		h.t.Fatalf("status %s: %v", id, err)
	}
	return status
}

func (h *harness) task(id string, index int) api.TaskStatus {
	h.t.Helper()
	return h.status(id).Steps[0].Tasks[index]
}

// fakeWorker implements the worker's side of the heartbeat protocol.
type fakeWorker struct {
	harness      *harness
	heartbeat    api.Heartbeat
	agent        string
	zone         string
	acknowledged []api.RunRef
}

// newWorker returns a worker with 4000 cpu_millis that has sent no heartbeat yet.
func (h *harness) newWorker(name, incarnation string) *fakeWorker {
	return &fakeWorker{harness: h, agent: "a", zone: "z1", heartbeat: api.Heartbeat{
		WorkerID: incarnation, Name: name, Services: []string{"s"},
		Capacity: api.Resources{CPUMillis: 4000, MemoryMB: 4000}, Labels: map[string]string{"zone": "z1"},
	}}
}

// startRunning registers a worker, and makes it run a new job "j" of count tasks.
func (h *harness) startRunning(name string, count int) *fakeWorker {
	h.t.Helper()
	worker := h.newWorker(name, name+"-1")
	worker.exchange()
	h.submit("j", tasks(count))
	worker.exchange()
	return worker
}

// send sends the next heartbeat and returns the answer without accepting it.
func (w *fakeWorker) send() (api.HeartbeatAnswer, error) {
	w.heartbeat.Seq++
	request := protocol.HeartbeatRequest{Agent: w.agent, Zone: w.zone, Heartbeat: w.heartbeat}
	answer, err := w.harness.leader.heartbeat(w.harness.t.Context(), request)
	w.harness.settle()
	return answer.Answer, err
}

// exchange sends a heartbeat and accepts its answer; the worker then runs the
// assignments in it.
func (w *fakeWorker) exchange() api.HeartbeatAnswer {
	w.harness.t.Helper()
	answer, err := w.send()
	if err != nil {
		w.harness.t.Fatalf("heartbeat %d of %s: %v", w.heartbeat.Seq, w.heartbeat.Name, err)
	}
	w.heartbeat.AcceptedSeq, w.heartbeat.AcceptedToken = answer.Seq, answer.Token
	w.acknowledged = answer.Acknowledged
	w.heartbeat.Ended = nil
	for _, order := range answer.Start {
		w.heartbeat.Running = append(w.heartbeat.Running, order.RunRef)
	}
	return answer
}

// endAllRuns makes the next heartbeat report all running runs as ended with the outcome.
func (w *fakeWorker) endAllRuns(outcome api.Outcome) {
	for _, reference := range w.heartbeat.Running {
		w.heartbeat.Ended = append(w.heartbeat.Ended, api.EndedRun{RunRef: reference, Outcome: outcome})
	}
	w.heartbeat.Running = nil
}

// tasks returns a step "s" of count tasks of 1000 cpu_millis each.
func tasks(count int) api.StepSpec {
	step := api.StepSpec{Name: "s"}
	for range count {
		step.Tasks = append(step.Tasks, api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 1000, MemoryMB: 1}})
	}
	return step
}
