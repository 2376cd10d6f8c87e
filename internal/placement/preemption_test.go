package placement

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/record"
)

func TestPreemption_ByPriority(t *testing.T) {
	high := func(need int64) Task {
		task := testTask("high", 0, need)
		task.Priority = 5
		return task
	}
	old := preemptibleTask("old", 0, 1, 4)
	young := preemptibleTask("young", 0, 1, 4)
	young.StartedAt = 2000
	old.StartedAt = 1000
	exhausted := preemptibleTask("exhausted", 0, 0, 4)
	exhausted.Preemptions = 3
	cases := []struct {
		name    string
		a, b    []Task
		need    int64
		victims string
	}{
		{"fewest", []Task{preemptibleTask("x", 0, 0, 2), preemptibleTask("x", 1, 0, 2)}, []Task{preemptibleTask("y", 0, 4, 4)}, 4, "y/a/0>high/a/0"},
		{"cheapest worker", []Task{preemptibleTask("x", 0, 3, 4)}, []Task{preemptibleTask("y", 0, 2, 4)}, 4, "y/a/0>high/a/0"},
		{"youngest", []Task{old}, nil, 4, "old/a/0>high/a/0"},
		{"two on one worker", []Task{preemptibleTask("x", 0, 0, 2), preemptibleTask("x", 1, 2, 2)}, []Task{testTask("firm", 0, 4)}, 4, "x/a/0>high/a/0 x/a/1>high/a/0"},
		{"not of the same priority", []Task{preemptibleTask("x", 0, 5, 4)}, []Task{testTask("firm", 0, 4)}, 4, ""},
		{"not preempted too often", []Task{exhausted}, []Task{testTask("firm", 0, 4)}, 4, ""},
		{"not if the task never fits", []Task{old}, []Task{young}, 5, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
			for _, task := range c.a {
				e.AddRun(task, "a-1")
			}
			for _, task := range c.b {
				e.AddRun(task, "b-1")
			}
			if c.name == "youngest" {
				e.SetWorker(testWorker("a", cpu(8)))
				e.RemoveWorker("b-1")
				e.AddRun(young, "a-1")
				c.victims = "young/a/0>high/a/0"
			}
			e.Add(high(c.need))
			expect(t, "not placed yet", placed(e, 10), "")
			requests := e.Preemptions()
			var texts []string
			for _, p := range requests {
				texts = append(texts, p.Task.String()+">"+p.Beneficiary.String())
				e.Release(p.Task)
			}
			expect(t, "victims", strings.Join(texts, " "), c.victims)
			expect(t, "placed", len(e.Plan(10)) > 0, c.victims != "")
		})
	}
}

func TestPreemption_RespectsPassBoundAndQuotas(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	for i := range 100 {
		e.AddRun(preemptibleTask("low", i, 0, 1), "w-1")
	}
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1}, {Name: "limited", Weight: 1, MaxRunning: 1}})
	for i := range 100 {
		task := testTask("high", i, 1)
		task.Priority = 1
		e.Add(task)
	}
	for i := range 2 {
		task := testTask("limited", i, 1)
		task.Queue, task.Priority = "limited", 2
		e.Add(task)
	}
	e.Plan(1000)
	requests := e.Preemptions()
	expect(t, "first pass", len(requests), maxPreemptionsPerPass)
	expect(t, "one for the queue with a quota", requests[0].Beneficiary.String()+" "+requests[1].Beneficiary.Job, "limited/a/0 high")
	e.Plan(1000)
	expect(t, "second pass", len(e.Preemptions()), 100-maxPreemptionsPerPass)
	e.Remove(requests[0].Beneficiary)
	e.Plan(1000)
	expect(t, "next task is nominated for the stopping run's capacity", e.Reason(record.TaskID{Job: "limited", Step: "a", Index: 1}), reasonAwaitsPreemption)
	expect(t, "no further preemptions", preemptions(e), "")
}

func TestPreemption_GangIsAllOrNothing(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
	e.AddRun(preemptibleTask("low", 0, 0, 3), "a-1")
	e.AddRun(preemptibleTask("low", 1, 7, 3), "b-1")
	gang := gangOf("g", 4, 4)
	for i := range gang {
		gang[i].Priority = 5
	}
	addAll(e, gang...)
	e.workers.refresh()
	before := engineState(e)
	expect(t, "one member has no target", placed(e, 10), "")
	expect(t, "no preemptions", preemptions(e), "")
	expect(t, "state after undo", engineState(e), before)
	e.Release(record.TaskID{Job: "low", Step: "a", Index: 1})
	e.AddRun(preemptibleTask("low", 1, 4, 3), "b-1")
	expect(t, "nominated, not placed", placed(e, 10), "")
	expect(t, "preemptions for both members", preemptions(e), "low/a/0>g/a/0 low/a/1>g/a/1")
	e.Release(record.TaskID{Job: "low", Step: "a", Index: 0})
	expect(t, "half of the capacity", placed(e, 10), "")
	e.Release(record.TaskID{Job: "low", Step: "a", Index: 1})
	expect(t, "all of the capacity", placed(e, 10), "g/a/0@a g/a/1@b")
}
