package placement

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

func TestEngine_CallsAreIdempotent(t *testing.T) {
	e := newEngine(testWorker("w", cpu(10)))
	task := testTask("j", 0, 4)
	addAll(e, task, task)
	expect(t, "tasks waiting after adding one twice", e.Waiting(), 1)
	e.Remove(task.ID)
	e.Remove(task.ID)
	expect(t, "tasks waiting after removing one twice", e.Waiting(), 0)
	e.AddRun(task, "w-1")
	e.AddRun(task, "w-1")
	expect(t, "free after adding a run twice", e.workers.byID["w-1"].free, cpu(6))
	e.Add(task)
	expect(t, "tasks waiting after adding a running one", e.Waiting(), 0)
	e.Release(task.ID)
	e.Release(task.ID)
	expect(t, "free after releasing a run twice", e.workers.byID["w-1"].free, cpu(10))
	e.Add(task)
	e.AddRun(task, "w-1")
	expect(t, "tasks waiting after adding the run of one", e.Waiting(), 0)
	e.RemoveWorker("w-1")
	e.RemoveWorker("w-1")
	expect(t, "runs and steps left after removing the worker", len(e.runs.open)+e.queues.GetOrCreate("q").Running()+len(e.runs.steps.byID), 0)
	e.Remove(record.TaskID{Job: "unknown"})
	e.Release(record.TaskID{Job: "unknown"})
}

func TestEngine_ReleasesAllStateOfEndedWork(t *testing.T) {
	e := newEngine(testWorker("a", cpu(3)), testWorker("b", cpu(3)))
	addAll(e, gangOf("g", 3, 3)...)
	addAll(e, spreadTask(0, "zone", 1), spreadTask(1, "zone", 1), testTask("j", 0, 1), testTask("j", 1, 99))
	addAll(e, testTask("alike", 0, 2), testTask("alike", 1, 2), testTask("alike", 2, 2))
	addAll(e, gangOf("parked", 2, 2)...)
	for _, d := range e.Plan(100) {
		e.Release(d.Task)
	}
	for id := range e.backlog.tasks {
		e.Remove(id)
	}
	expect(t, "entries left in the engine", len(e.classes.byKey)+len(e.runs.steps.byID)+len(e.backlog.gangs)+len(e.backlog.levels)+len(e.runs.open)+len(e.backlog.tasks), 0)
	for _, p := range e.workers.pools {
		expect(t, "users and unschedulable classes of a pool", p.users+len(p.waitingClasses), 0)
	}
}

func TestEngine_RunsOnUnknownAndShrunkWorkers(t *testing.T) {
	e := newEngine()
	e.AddRun(testTask("held", 0, 6), "w-1")
	e.Add(testTask("j", 0, 5))
	e.SetWorker(testWorker("w", cpu(10)))
	expect(t, "placed beside a run added before its worker", placed(e, 10), "")
	expect(t, "reason with 4 free", e.Reason(testTask("j", 0, 5).ID), "no room: needs 5 cpu_millis, most free 4")
	e.SetWorker(testWorker("w", cpu(5)))
	e.Add(testTask("none", 1, 0))
	expect(t, "placed with negative free capacity", placed(e, 10), "")
	e.SetWorker(testWorker("w", cpu(6)))
	expect(t, "placed with no free capacity", placed(e, 10), "none/a/1@w")
	e.Release(testTask("held", 0, 6).ID)
	expect(t, "placed after the release", placed(e, 10), "j/a/0@w")
}

func TestEngine_HasFreeCapacity(t *testing.T) {
	worker := testWorker("w", cpu(4))
	worker.Services = []string{"s"}
	worker.Labels = map[string]string{"kind": "a"}
	e := newEngine(worker)
	running := testTask("j", 0, 3)
	e.AddRun(running, "w-1")
	spec := func(need int64, service string, labels map[string]string) *api.TaskSpec {
		return &api.TaskSpec{Service: service, Resources: cpu(need), Labels: labels}
	}
	cases := []struct {
		name string
		spec *api.TaskSpec
		want bool
	}{
		{"the free capacity", spec(1, "s", nil), true},
		{"more than the free capacity", spec(2, "s", nil), false},
		{"with the label", spec(1, "s", map[string]string{"kind": "a"}), true},
		{"with another label", spec(1, "s", map[string]string{"kind": "b"}), false},
		{"of another service", spec(1, "other", nil), false},
	}
	for _, c := range cases {
		if got := e.HasFreeCapacity(c.spec); got != c.want {
			t.Errorf("%s: got HasFreeCapacity %v, want the opposite", c.name, got)
		}
	}
	for name, change := range map[string]func(*Worker){
		"not usable":   func(w *Worker) { w.Usable = false },
		"suspect":      func(w *Worker) { w.Suspect = true },
		"on probation": func(w *Worker) { w.Probation = true },
	} {
		changed := worker
		change(&changed)
		e.SetWorker(changed)
		if e.HasFreeCapacity(cases[0].spec) {
			t.Errorf("worker that is %s: HasFreeCapacity: got true, want false", name)
		}
	}
}
