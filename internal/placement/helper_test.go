package placement

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

func cpu(millis int64) api.Resources { return api.Resources{CPUMillis: millis} }

// testWorker returns a usable worker that offers service "s"; its ID is the name plus
// "-1".
func testWorker(name string, capacity api.Resources) Worker {
	return Worker{ID: name + "-1", Name: name, Zone: "z1", Capacity: capacity, Services: []string{"s"}, Usable: true}
}

// testTask returns task JOB/a/SEQUENCE of queue "q" with that Sequence.
func testTask(job string, sequence int, need int64) Task {
	return Task{
		ID: record.TaskID{Job: job, Step: "a", Index: sequence}, Queue: "q", Sequence: uint64(sequence), Preferences: &Preferences{},
		Spec: &api.TaskSpec{Service: "s", Resources: cpu(need)},
	}
}

func gangOf(job string, needs ...int64) []Task {
	var tasks []Task
	for i, need := range needs {
		task := testTask(job, i, need)
		task.Gang, task.GangSize = job+"/a", len(needs)
		tasks = append(tasks, task)
	}
	return tasks
}

func spreadTask(sequence int, by string, most int) Task {
	task := testTask("spread", sequence, 1)
	task.Spec.Spread = &api.Spread{By: by, MaxPerDomain: most}
	return task
}

func newEngine(workers ...Worker) *Engine {
	e := New(Config{})
	for _, w := range workers {
		e.SetWorker(w)
	}
	return e
}

func addAll(e *Engine, tasks ...Task) {
	for _, task := range tasks {
		e.Add(task)
	}
}

// placed calls Plan and returns "TASK@WORKER" in the order of the decisions.
func placed(e *Engine, limit int) string {
	var texts []string
	for _, d := range e.Plan(limit) {
		texts = append(texts, d.Task.String()+"@"+d.Worker)
	}
	return strings.Join(texts, " ")
}

func expect[T any](t *testing.T, what string, got, want T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}
