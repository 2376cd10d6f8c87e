package placement

import (
	"testing"

	"github.com/decklever/decklever/internal/placement/preferredlabels"
	"github.com/decklever/decklever/internal/record"
)

// preferring is a task that prefers the rack.
func preferring(job, rack string, need int64) Task {
	task := testTask(job, 0, need)
	task.Spec.Prefer = map[string]string{"rack": rack}
	return task
}

// TestPreferredLabels_OthersLeaveReserve: without it the tasks of "others" fill rack x,
// whose workers come first by name.
func TestPreferredLabels_OthersLeaveReserve(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 100, "rack=x"), rackWorker("b", "z1", 100, "rack=y"))
	e.SetTime(1)
	first := preferring("first", "x", 10)
	e.Add(first)
	expect(t, "the first one", placed(e, 10), "first/a/0@a")
	e.Release(first.ID)
	for i := range 12 {
		e.Add(testTask("others", i, 10))
	}
	expect(t, "others, on 70 of 100 of rack x first", countBy(e, name), map[string]int{"a": 7, "b": 5})
	e.Add(preferring("near", "x", 30))
	expect(t, "what prefers rack x", placed(e, 10), "near/a/0@a")
}

func TestPreferredLabels_ReserveUsedWhenNothingElseFits(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 100, "rack=x"))
	e.Add(preferring("first", "x", 50))
	for i := range 5 {
		e.Add(testTask("others", i, 10))
	}
	expect(t, "runs", countBy(e, name), map[string]int{"a": 6})
}

// TestPreferredLabels_Expire: a worker that no task has preferred for long fills up
// first again.
func TestPreferredLabels_Expire(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 100, "rack=x"), rackWorker("b", "z1", 100, "rack=y"))
	e.SetTime(1)
	first := preferring("first", "x", 10)
	e.Add(first)
	e.Plan(1)
	e.Release(first.ID)
	e.SetTime(1 + 2*preferredlabels.TTL)
	for i := range 10 {
		e.Add(testTask("others", i, 10))
	}
	expect(t, "runs", countBy(e, name), map[string]int{"a": 10})
	expect(t, "labels remembered", e.preferred.labels.Len(), 0)
}

func TestPreferredLabels_AreBounded(t *testing.T) {
	e := newEngine()
	for i := range 2 * preferredlabels.Max {
		task := testTask("j", i, 10)
		task.Spec.Prefer = map[string]string{"rack": record.TaskID{Job: "rack", Index: i}.String()}
		e.Add(task)
	}
	expect(t, "labels remembered", e.preferred.labels.Len(), preferredlabels.Max)
}

// TestLocalityWait_WaitsForPreferredRack: and takes any other worker once it waits no more.
func TestLocalityWait_WaitsForPreferredRack(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 10, "rack=x"), rackWorker("b", "z1", 100, "rack=y"))
	taken := testTask("taken", 0, 10)
	e.AddRun(taken, "a-1")
	task := preferring("near", "x", 10)
	task.WaitsForPreferred = true
	e.Add(task)
	expect(t, "while its rack is full", placed(e, 10), "")
	other := preferring("other", "y", 10)
	other.WaitsForPreferred = true
	e.Add(other)
	expect(t, "another rack's", placed(e, 10), "other/a/0@b")
	e.Release(taken.ID)
	expect(t, "once there is capacity", placed(e, 10), "near/a/0@a")
	e.Add(preferring("last", "x", 10))
	expect(t, "without the wait", placed(e, 10), "last/a/0@b")
}

// TestLocalityWait_AvoidsUnhealthyWorkers: where all workers of the rack are gone,
// slow, suspect or full beside such, the task goes elsewhere or waits.
func TestLocalityWait_AvoidsUnhealthyWorkers(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Worker)
	}{
		{"gone", func(w *Worker) { w.Usable = false }},
		{"slow", func(w *Worker) { w.Slow = true }},
		{"suspect", func(w *Worker) { w.Suspect = true }},
		{"on probation", func(w *Worker) { w.Probation = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			unsound := rackWorker("a", "z1", 10, "rack=x")
			c.change(&unsound)
			e := newEngine(unsound, rackWorker("b", "z1", 100, "rack=y"))
			task := preferring("near", "x", 10)
			task.WaitsForPreferred, task.AllowsProbation = true, true
			e.Add(task)
			expect(t, "decisions", placed(e, 10), "near/a/0@b")
			sound := rackWorker("c", "z1", 10, "rack=x")
			e.SetWorker(sound)
			e.AddRun(testTask("taken", 0, 10), "c-1")
			next := preferring("next", "x", 10)
			next.WaitsForPreferred, next.AllowsProbation = true, true
			e.Add(next)
			expect(t, "beside a sound one that is full", placed(e, 10), "")
		})
	}
}

// TestLocalityWait_DoesNotPreempt: a task that may take other capacity soon stops no run.
func TestLocalityWait_DoesNotPreempt(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 10, "rack=x"), rackWorker("b", "z1", 100, "rack=y"))
	taken := testTask("taken", 0, 10)
	taken.Spec.Preemptible = true
	e.AddRun(taken, "a-1")
	task := preferring("near", "x", 10)
	task.WaitsForPreferred, task.Priority = true, 5
	e.Add(task)
	expect(t, "decisions", placed(e, 10), "")
	expect(t, "preemptions", len(e.Preemptions()), 0)
}
