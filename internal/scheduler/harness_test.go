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

// fakeLog applies each command at once. It is the log of one replica that
// leads for as long as lease is true.
type fakeLog struct {
	t       *testing.T
	machine *record.Machine
	index   uint64
	clock   record.Millis
	lease   bool
	// overloaded refuses all proposals.
	overloaded bool
	// whileProposing is done while a proposal is being committed, if not nil.
	whileProposing func()
}

// Propose gives up, as a replica does, for a caller that has gone away.
func (f *fakeLog) Propose(ctx context.Context, token uint64, command record.Command) (record.Result, error) {
	f.t.Helper()
	if ctx.Err() != nil || f.overloaded {
		return record.Result{}, replica.ErrOverloaded
	}
	if f.whileProposing != nil {
		f.whileProposing()
	}
	if !f.lease {
		return record.Result{}, replica.ErrNotLeader
	}
	command.Time, command.Token = f.clock, token
	data, err := record.Encode(command)
	if err != nil {
		f.t.Fatalf("encode: %v", err)
	}
	f.index++
	result, err := f.machine.Apply(f.index, data)
	if err != nil {
		f.t.Fatalf("apply: %v", err)
	}
	return result, nil
}

func (f *fakeLog) HoldsLease(uint64) bool            { return f.lease }
func (f *fakeLog) ReadBarrier(context.Context) error { return nil }
func (f *fakeLog) Now() record.Millis                { return f.clock }
func (f *fakeLog) Record() *record.Machine           { return f.machine }
func (f *fakeLog) Status() raft.Status               { return raft.Status{} }
func (f *fakeLog) Leader() (raft.Member, bool)       { return raft.Member{Address: "127.0.0.9:1"}, true }

// harness drives a leader step by step, without its loops.
type harness struct {
	t       *testing.T
	log     *fakeLog
	archive record.Archive
	now     time.Duration
	leader  *leader
	token   uint64
	stop    func()
	workers map[string]*fakeWorker
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	archive := storage.NewMemoryArchive()
	machine := record.NewMachine(record.Config{Archive: archive})
	h := &harness{
		t: t, archive: archive, now: time.Hour, workers: map[string]*fakeWorker{},
		log: &fakeLog{t: t, machine: machine, clock: 1_700_000_000_000, lease: true},
	}
	h.newTerm()
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}}})
	return h
}

// newTerm replaces the leader by one of the next term.
func (h *harness) newTerm() {
	if h.stop != nil {
		h.stop()
	}
	h.token++
	h.leader = newLeader(leaderConfig{
		Log: h.log, Archive: h.archive, Planner: placement.New(placement.Config{}),
		Logger: slog.New(slog.DiscardHandler), Metrics: newMetrics(prometheus.NewRegistry()),
		Now:        func() time.Duration { return h.now },
		Leadership: replica.Leadership{Token: h.token, Context: h.t.Context()},
	})
	h.stop = h.log.machine.Observe(h.leader.load, h.leader.handleEvent)
}

// advance lets time pass on all clocks and then does what the loops would.
func (h *harness) advance(by time.Duration) {
	h.now += by
	h.log.clock += record.MillisOf(by)
	h.settle()
}

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
		h.t.Fatalf("submit %s: %+v, %v", id, answer, err)
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

// fakeWorker keeps the worker's side of the protocol.
type fakeWorker struct {
	harness     *harness
	heartbeat   api.Heartbeat
	agent       string
	zone        string
	acknowledge []api.RunRef
}

func (h *harness) worker(name, incarnation string) *fakeWorker {
	return &fakeWorker{harness: h, agent: "a", zone: "z1", heartbeat: api.Heartbeat{
		WorkerID: incarnation, Name: name, Services: []string{"s"},
		Capacity: api.Resources{CPUMillis: 4000, MemoryMB: 4000}, Labels: map[string]string{"zone": "z1"},
	}}
}

// recordedRuns registers a worker and has it run the tasks of job "j".
func (h *harness) running(name string, count int) *fakeWorker {
	h.t.Helper()
	worker := h.worker(name, name+"-1")
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

// exchange sends a heartbeat and accepts its answer: its assignments then run.
func (w *fakeWorker) exchange() api.HeartbeatAnswer {
	w.harness.t.Helper()
	answer, err := w.send()
	if err != nil {
		w.harness.t.Fatalf("heartbeat %d of %s: %v", w.heartbeat.Seq, w.heartbeat.Name, err)
	}
	w.heartbeat.AcceptedSeq = answer.Seq
	w.acknowledge = answer.Acknowledged
	w.heartbeat.Ended = nil
	for _, order := range answer.Start {
		w.heartbeat.Running = append(w.heartbeat.Running, order.RunRef)
	}
	return answer
}

// end moves every running run to ended.
func (w *fakeWorker) end(outcome api.Outcome) {
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
