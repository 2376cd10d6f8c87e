package record

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

// harness applies commands to one Machine and records its events as texts.
type harness struct {
	t       testing.TB
	machine *Machine
	archive *testArchive
	index   uint64
	now     Millis
	events  []string
}

const testQueue = "q"

func newHarness(t testing.TB) *harness {
	t.Helper()
	h := &harness{t: t, archive: newTestArchive(), now: 1000}
	h.machine = NewMachine(Config{Archive: h.archive, MaxConfigOrders: 3})
	h.putConfig("order-1", 0, testConfig())
	h.machine.Observe(nil, func(event Event) { h.events = append(h.events, eventText(event)) })
	return h
}

func testConfig() api.Config {
	return api.Config{Queues: []api.QueueConfig{
		{Name: testQueue, DefaultAllowedFailures: 2},
		{Name: "narrow", MaxRunningTasks: 1},
	}}
}

func eventText(event Event) string {
	switch e := event.(type) {
	case TaskBecameReady:
		return "ready " + e.Task.ID.String()
	case TaskLeftReady:
		return "left " + e.Task.ID.String()
	case RunOpened:
		return "opened " + e.Run.Task.ID.String()
	case RunStopping:
		return fmt.Sprintf("stopping %s %s", e.Run.Task.ID, e.Run.Stop)
	case RunClosed:
		return fmt.Sprintf("closed %s %s", e.Run.Task.ID, e.Outcome)
	case JobAdded:
		return "added " + e.Job.ID
	case JobEnded:
		return fmt.Sprintf("ended %s %s", e.Job.ID, e.Job.State())
	case ConfigChanged:
		return fmt.Sprintf("config %d", e.Version)
	case WorkerChanged:
		return "worker " + e.Worker.ID
	case WorkerForgotten:
		return "forgotten " + e.Worker.ID
	case WindowReleased:
		return fmt.Sprintf("released %s/%s/%d", e.Window.Queue, e.Window.Booking, e.Window.Start)
	}
	return "replaced"
}

func (h *harness) apply(command Command) Result {
	h.t.Helper()
	command.Time = h.now
	command.Token = 7
	data, err := Encode(command)
	if err != nil {
		h.t.Fatal(err)
	}
	h.index++
	result, err := h.machine.Apply(h.index, data)
	if err != nil {
		h.t.Fatal(err)
	}
	return result
}

// takeEvents returns the events since its last call.
func (h *harness) takeEvents() []string {
	events := h.events
	h.events = nil
	return events
}

func expectEvents(t *testing.T, h *harness, expected ...string) {
	t.Helper()
	if diff := cmp.Diff(expected, h.takeEvents()); diff != "" {
		t.Fatalf("events differ (-want +got):\n%s", diff)
	}
}

func (h *harness) putConfig(order string, base uint64, config api.Config) *ConfigResult {
	h.t.Helper()
	put := &PutConfig{OrderID: order, Base: base, Config: config, Digest: config.Digest()}
	return h.apply(Command{PutConfig: put}).Config
}

func (h *harness) submit(id string, steps ...api.StepSpec) SubmitOutcome {
	h.t.Helper()
	return h.submitTo(testQueue, id, steps...)
}

func (h *harness) submitTo(queue, id string, steps ...api.StepSpec) SubmitOutcome {
	h.t.Helper()
	spec := api.JobSpec{Queue: queue, Steps: steps}
	result := h.apply(Command{SubmitJob: &SubmitJob{ID: id, Spec: spec, Digest: spec.Digest()}})
	return result.Submit.Outcome
}

func (h *harness) submitSpec(id string, spec api.JobSpec) SubmitOutcome {
	h.t.Helper()
	return h.apply(Command{SubmitJob: &SubmitJob{ID: id, Spec: spec, Digest: spec.Digest()}}).Submit.Outcome
}

func (h *harness) expand(id string, through int) {
	h.t.Helper()
	h.apply(Command{ExpandRepeats: &ExpandRepeats{Jobs: []Expansion{{Job: id, Through: through}}}})
}

func (h *harness) cancel(ids ...string) {
	h.t.Helper()
	h.apply(Command{CancelJobs: &CancelJobs{Jobs: ids}})
}

func (h *harness) register(workers ...Worker) []string {
	h.t.Helper()
	return h.apply(Command{RegisterWorkers: &RegisterWorkers{Workers: workers}}).RejectedWorkers
}

func testWorker(name string) Worker {
	return Worker{
		Name: name, ID: name + "-1", Zone: "z1",
		Capacity: api.Resources{CPUMillis: 4000}, Services: []string{"s"},
	}
}

func placementOn(task TaskID, number uint32, worker string) Placement {
	return Placement{Run: RunID{Task: task, Number: number}, Worker: worker, WorkerID: worker + "-1"}
}

func (h *harness) place(placements ...Placement) []RunID {
	h.t.Helper()
	return h.apply(Command{PlaceTasks: &PlaceTasks{Placements: placements}}).Rejected
}

func (h *harness) mustPlace(placements ...Placement) {
	h.t.Helper()
	if rejected := h.place(placements...); len(rejected) > 0 {
		h.t.Fatalf("got rejected runs %v, want none", rejected)
	}
}

func (h *harness) mustRejectAll(placements ...Placement) {
	h.t.Helper()
	if rejected := h.place(placements...); len(rejected) != len(placements) {
		h.t.Fatalf("got rejected runs %v, want all of %v", rejected, placements)
	}
}

func (h *harness) close(task TaskID, number uint32, outcome api.Outcome) {
	h.t.Helper()
	end := RunEnd{Run: RunID{Task: task, Number: number}, Outcome: outcome, Message: "why"}
	h.apply(Command{CloseRuns: &CloseRuns{Runs: []RunEnd{end}}})
}

func (h *harness) stop(reason StopReason, tasks ...TaskID) {
	h.t.Helper()
	stop := &StopRuns{Reason: reason}
	for _, id := range tasks {
		stop.Runs = append(stop.Runs, RunID{Task: id, Number: h.task(id).LastRun})
	}
	h.apply(Command{StopRuns: stop})
}

// placeAndClose places a task on worker w1 and closes that run with the given
// outcome.
func (h *harness) placeAndClose(task TaskID, outcome api.Outcome) {
	h.t.Helper()
	number := h.task(task).LastRun + 1
	h.mustPlace(placementOn(task, number, "w1"))
	h.close(task, number, outcome)
}

func (h *harness) task(id TaskID) *Task {
	h.t.Helper()
	task := h.machine.state.jobs.task(id)
	if task == nil {
		h.t.Fatalf("task %s: got no live task, want one", id)
	}
	return task
}

func (h *harness) status(id string) (status api.JobStatus) {
	h.t.Helper()
	h.machine.Read(func(v View) {
		found, known, err := v.Status(id, nil)
		if err != nil || !known {
			h.t.Fatalf("status of job %q: got known %v, error %v, want true, nil", id, known, err)
		}
		status = found
	})
	return status
}

func stepSpec(name string, tasks int, after ...string) api.StepSpec {
	step := api.StepSpec{Name: name, After: after}
	for range tasks {
		step.Tasks = append(step.Tasks, api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 1000}})
	}
	return step
}

func replicatedStep(name string, count int, after ...string) api.StepSpec {
	step := stepSpec(name, 1, after...)
	step.Replicas = count
	return step
}

const testInterval = 100 * time.Millisecond

func repeatingJob(times int, first Millis, steps ...api.StepSpec) api.JobSpec {
	repeat := &api.RepeatSpec{Times: times, First: first.Time(), Interval: api.Duration(testInterval)}
	return api.JobSpec{Queue: testQueue, Repeat: repeat, Steps: steps}
}

func taskID(job, step string, index int) TaskID { return TaskID{Job: job, Step: step, Index: index} }

func occurrenceTaskID(job, step string, index, occurrence int) TaskID {
	return TaskID{Job: job, Step: step, Index: index, Occurrence: occurrence}
}

func expect[T comparable](t *testing.T, what string, got, expected T) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", what, got, expected)
	}
}

// fatalReporter is implemented by both testing.TB and rapid.T.
type fatalReporter interface {
	Helper()
	Fatal(args ...any)
}

func snapshotBytes(t fatalReporter, machine *Machine) []byte {
	t.Helper()
	_, write, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var data bytes.Buffer
	if err := write(&data); err != nil {
		t.Fatal(err)
	}
	return data.Bytes()
}

func restoreMachine(t fatalReporter, data []byte, archive Archive) *Machine {
	t.Helper()
	machine := NewMachine(Config{Archive: archive, MaxConfigOrders: 3})
	if err := machine.Restore(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	return machine
}
