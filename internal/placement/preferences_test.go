package placement

import (
	"testing"

	"github.com/decklever/decklever/internal/placement/preferredlabels"
	"github.com/decklever/decklever/internal/record"
)

// taskPreferringRack returns a task that prefers the rack.
func taskPreferringRack(job, rack string, need int64) Task {
	task := testTask(job, 0, need)
	task.Spec.Prefer = map[string]string{"rack": rack}
	return task
}

// TestPreferredLabels_OthersLeaveReserve guards against tasks without a preference filling
// the worker of rack x, which comes first by name, so that a task that prefers the rack
// does not fit there.
func TestPreferredLabels_OthersLeaveReserve(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 100, "rack=x"), rackWorker("b", "z1", 100, "rack=y"))
	e.SetTime(1)
	first := taskPreferringRack("first", "x", 10)
	e.Add(first)
	expect(t, "first task", placed(e, 10), "first/a/0@a")
	e.Release(first.ID)
	for i := range 12 {
		e.Add(testTask("others", i, 10))
	}
	expect(t, "runs of others, at most 70 of 100 on rack x", countBy(e, workerName), map[string]int{"a": 7, "b": 5})
	e.Add(taskPreferringRack("near", "x", 30))
	expect(t, "task that prefers rack x", placed(e, 10), "near/a/0@a")
}

func TestPreferredLabels_ReserveUsedWhenNothingElseFits(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 100, "rack=x"))
	e.Add(taskPreferringRack("first", "x", 50))
	for i := range 5 {
		e.Add(testTask("others", i, 10))
	}
	expect(t, "runs by worker", countBy(e, workerName), map[string]int{"a": 6})
}

// TestPreferredLabels_Expire: once its labels have expired, a worker has no reserve, and
// best fit fills it up first.
func TestPreferredLabels_Expire(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 100, "rack=x"), rackWorker("b", "z1", 100, "rack=y"))
	e.SetTime(1)
	first := taskPreferringRack("first", "x", 10)
	e.Add(first)
	e.Plan(1)
	e.Release(first.ID)
	e.SetTime(1 + 2*preferredlabels.TTL)
	for i := range 10 {
		e.Add(testTask("others", i, 10))
	}
	expect(t, "runs by worker", countBy(e, workerName), map[string]int{"a": 10})
	expect(t, "labels recorded", e.preferred.labels.Len(), 0)
}

func TestPreferredLabels_AreBounded(t *testing.T) {
	e := newEngine()
	for i := range 2 * preferredlabels.Max {
		task := testTask("j", i, 10)
		task.Spec.Prefer = map[string]string{"rack": record.TaskID{Job: "rack", Index: i}.String()}
		e.Add(task)
	}
	expect(t, "labels recorded", e.preferred.labels.Len(), preferredlabels.Max)
}

// TestLocalityWait_WaitsForPreferredRack: a task with WaitsForPreferred waits for its rack
// although another one has capacity; a task without it is placed on any worker.
func TestLocalityWait_WaitsForPreferredRack(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 10, "rack=x"), rackWorker("b", "z1", 100, "rack=y"))
	taken := testTask("taken", 0, 10)
	e.AddRun(taken, "a-1")
	task := taskPreferringRack("near", "x", 10)
	task.WaitsForPreferred = true
	e.Add(task)
	expect(t, "decisions while rack x is full", placed(e, 10), "")
	other := taskPreferringRack("other", "y", 10)
	other.WaitsForPreferred = true
	e.Add(other)
	expect(t, "task that prefers rack y", placed(e, 10), "other/a/0@b")
	e.Release(taken.ID)
	expect(t, "decisions once rack x has capacity", placed(e, 10), "near/a/0@a")
	e.Add(taskPreferringRack("last", "x", 10))
	expect(t, "task that does not wait", placed(e, 10), "last/a/0@b")
}

// TestLocalityWait_AvoidsUnhealthyWorkers: if the only worker of the rack is unusable, slow
// or restricted, the task is placed elsewhere at once. If a healthy worker of the rack is
// full, the task waits for it rather than using the unhealthy one.
func TestLocalityWait_AvoidsUnhealthyWorkers(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Worker)
	}{
		{"unusable", func(w *Worker) { w.Usable = false }},
		{"slow", func(w *Worker) { w.Slow = true }},
		{"suspect", func(w *Worker) { w.Suspect = true }},
		{"on probation", func(w *Worker) { w.Probation = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			unhealthy := rackWorker("a", "z1", 10, "rack=x")
			c.change(&unhealthy)
			e := newEngine(unhealthy, rackWorker("b", "z1", 100, "rack=y"))
			task := taskPreferringRack("near", "x", 10)
			task.WaitsForPreferred, task.AllowsProbation = true, true
			e.Add(task)
			expect(t, "decisions", placed(e, 10), "near/a/0@b")
			healthy := rackWorker("c", "z1", 10, "rack=x")
			e.SetWorker(healthy)
			e.AddRun(testTask("taken", 0, 10), "c-1")
			next := taskPreferringRack("next", "x", 10)
			next.WaitsForPreferred, next.AllowsProbation = true, true
			e.Add(next)
			expect(t, "decisions while the healthy worker is full", placed(e, 10), "")
		})
	}
}

// TestLocalityWait_DoesNotPreempt: a task in a locality wait preempts no run, because it
// may soon use other capacity.
func TestLocalityWait_DoesNotPreempt(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 10, "rack=x"), rackWorker("b", "z1", 100, "rack=y"))
	taken := testTask("taken", 0, 10)
	taken.Spec.Preemptible = true
	e.AddRun(taken, "a-1")
	task := taskPreferringRack("near", "x", 10)
	task.WaitsForPreferred, task.Priority = true, 5
	e.Add(task)
	expect(t, "decisions", placed(e, 10), "")
	expect(t, "preemptions", len(e.Preemptions()), 0)
}
