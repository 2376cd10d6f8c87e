package record

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

// harness drives one machine and notes its events.
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
	r := &harness{t: t, archive: newTestArchive(), now: 1000}
	r.machine = NewMachine(Config{Archive: r.archive, MaxConfigOrders: 3})
	r.putConfig("order-1", 0, testConfig())
	r.machine.Observe(nil, func(event Event) { r.events = append(r.events, describe(event)) })
	return r
}

func testConfig() api.Config {
	return api.Config{Queues: []api.QueueConfig{
		{Name: testQueue, DefaultAllowedFailures: 2},
		{Name: "narrow", MaxRunningTasks: 1},
	}}
}

func describe(event Event) string {
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

func (r *harness) apply(command Command) Result {
	r.t.Helper()
	command.Time = r.now
	command.Token = 7
	data, err := Encode(command)
	if err != nil {
		r.t.Fatal(err)
	}
	r.index++
	result, err := r.machine.Apply(r.index, data)
	if err != nil {
		r.t.Fatal(err)
	}
	return result
}

// takeEvents returns the events since it was last called.
func (r *harness) takeEvents() []string {
	events := r.events
	r.events = nil
	return events
}

func expectEvents(t *testing.T, r *harness, expected ...string) {
	t.Helper()
	if diff := cmp.Diff(expected, r.takeEvents()); diff != "" {
		t.Fatalf("events (-expected +got):\n%s", diff)
	}
}

func (r *harness) putConfig(order string, base uint64, config api.Config) *ConfigResult {
	r.t.Helper()
	put := &PutConfig{OrderID: order, Base: base, Config: config, Digest: config.Digest()}
	return r.apply(Command{PutConfig: put}).Config
}

func (r *harness) submit(id string, steps ...api.StepSpec) SubmitOutcome {
	r.t.Helper()
	return r.submitTo(testQueue, id, steps...)
}

func (r *harness) submitTo(queue, id string, steps ...api.StepSpec) SubmitOutcome {
	r.t.Helper()
	spec := api.JobSpec{Queue: queue, Steps: steps}
	result := r.apply(Command{SubmitJob: &SubmitJob{ID: id, Spec: spec, Digest: spec.Digest()}})
	return result.Submit.Outcome
}

func (r *harness) submitSpec(id string, spec api.JobSpec) SubmitOutcome {
	r.t.Helper()
	return r.apply(Command{SubmitJob: &SubmitJob{ID: id, Spec: spec, Digest: spec.Digest()}}).Submit.Outcome
}

func (r *harness) expand(id string, through int) {
	r.t.Helper()
	r.apply(Command{ExpandRepeats: &ExpandRepeats{Jobs: []Expansion{{Job: id, Through: through}}}})
}

func (r *harness) cancel(ids ...string) {
	r.t.Helper()
	r.apply(Command{CancelJobs: &CancelJobs{Jobs: ids}})
}

func (r *harness) register(workers ...Worker) []string {
	r.t.Helper()
	return r.apply(Command{RegisterWorkers: &RegisterWorkers{Workers: workers}}).RejectedWorkers
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

func (r *harness) place(placements ...Placement) []RunID {
	r.t.Helper()
	return r.apply(Command{PlaceTasks: &PlaceTasks{Placements: placements}}).Rejected
}

func (r *harness) mustPlace(placements ...Placement) {
	r.t.Helper()
	if rejected := r.place(placements...); len(rejected) > 0 {
		r.t.Fatalf("rejected %v", rejected)
	}
}

func (r *harness) mustRejectAll(placements ...Placement) {
	r.t.Helper()
	if rejected := r.place(placements...); len(rejected) != len(placements) {
		r.t.Fatalf("rejected %v, expected all of %v", rejected, placements)
	}
}

func (r *harness) close(task TaskID, number uint32, outcome api.Outcome) {
	r.t.Helper()
	end := RunEnd{Run: RunID{Task: task, Number: number}, Outcome: outcome, Message: "why"}
	r.apply(Command{CloseRuns: &CloseRuns{Runs: []RunEnd{end}}})
}

func (r *harness) stop(reason StopReason, tasks ...TaskID) {
	r.t.Helper()
	stop := &StopRuns{Reason: reason}
	for _, id := range tasks {
		stop.Runs = append(stop.Runs, RunID{Task: id, Number: r.task(id).LastRun})
	}
	r.apply(Command{StopRuns: stop})
}

// placeAndClose takes a task through one run.
func (r *harness) placeAndClose(task TaskID, outcome api.Outcome) {
	r.t.Helper()
	number := r.task(task).LastRun + 1
	r.mustPlace(placementOn(task, number, "w1"))
	r.close(task, number, outcome)
}

func (r *harness) task(id TaskID) (task *Task) {
	r.t.Helper()
	r.machine.Read(func(v View) { task, _ = v.Task(id) })
	if task == nil {
		r.t.Fatalf("task %s is not live", id)
	}
	return task
}

func (r *harness) status(id string) (status api.JobStatus) {
	r.t.Helper()
	r.machine.Read(func(v View) {
		found, known, err := v.Status(id, nil)
		if err != nil || !known {
			r.t.Fatalf("status of %q: %v, %v", id, known, err)
		}
		status = found
	})
	return status
}

func stepSpec(name string, tasks int, after ...string) api.StepSpec {
	made := api.StepSpec{Name: name, After: after}
	for range tasks {
		made.Tasks = append(made.Tasks, api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 1000}})
	}
	return made
}

func replicatedStep(name string, count int, after ...string) api.StepSpec {
	made := stepSpec(name, 1, after...)
	made.Replicas = count
	return made
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
		t.Fatalf("%s: got %v, expected %v", what, got, expected)
	}
}

// failer is met by the tests of package testing and of rapid.
type failer interface {
	Helper()
	Fatal(args ...any)
}

func snapshotBytes(t failer, machine *Machine) []byte {
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

func restored(t failer, data []byte, archive Archive) *Machine {
	t.Helper()
	machine := NewMachine(Config{Archive: archive, MaxConfigOrders: 3})
	if err := machine.Restore(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	return machine
}
