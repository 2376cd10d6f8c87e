package placement

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

func TestFilter_FeasibleWorkers(t *testing.T) {
	w := testWorker("w", api.Resources{CPUMillis: 10, MemoryMB: 10})
	w.Labels = map[string]string{"disk": "ssd", "rack": ""}
	full := &queue{rule: QueueRule{MaxRunning: 2}, running: 1}
	usable, closed := w, w
	closed.Usable = false
	cases := []struct {
		name      string
		got, want bool
	}{
		{"fits exactly", fits(cpu(10), w.Capacity), true},
		{"one dimension short", fits(api.Resources{CPUMillis: 1, Accelerators: 1}, w.Capacity), false},
		{"nothing fits below zero", fits(cpu(0), api.Resources{MemoryMB: -1}), false},
		{"service", w.Offers("s"), true},
		{"other service", w.Offers("x"), false},
		{"no labels", w.HasLabels(nil), true},
		{"all labels", w.HasLabels(map[string]string{"disk": "ssd", "rack": ""}), true},
		{"other value", w.HasLabels(map[string]string{"disk": "hdd"}), false},
		{"missing label is not empty", w.HasLabels(map[string]string{"row": ""}), false},
		{"usable", isUsable(&worker{Worker: usable, known: true}), true},
		{"not usable", isUsable(&worker{Worker: closed, known: true}), false},
		{"not known", isUsable(&worker{Worker: usable}), false},
		{"queue has one left", withinQueueLimit(full, 1), true},
		{"queue has no two left", withinQueueLimit(full, 2), false},
		{"queue without bound", withinQueueLimit(newQueue("q"), 1000), true},
		{"no spread rule", withinSpread(nil, &w), true},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Errorf("%s: got %v", c.name, c.got)
		}
	}
}

func TestScore_FullestWorkerFirst(t *testing.T) {
	cases := []struct {
		name    string
		workers []Worker
		want    string
	}{
		{"least room", []Worker{testWorker("a", cpu(100)), testWorker("b", cpu(40)), testWorker("c", cpu(9))}, "j/a/0@b"},
		{"ties by name", []Worker{testWorker("c", cpu(40)), testWorker("b", cpu(40))}, "j/a/0@b"},
		{"measured against the largest", []Worker{
			testWorker("a", api.Resources{CPUMillis: 100, MemoryMB: 1000}),
			testWorker("b", api.Resources{CPUMillis: 20, MemoryMB: 900}),
			testWorker("c", api.Resources{CPUMillis: 90, MemoryMB: 100}),
		}, "j/a/0@c"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(c.workers...)
			e.Add(testTask("j", 0, 10))
			expect(t, "decisions", placed(e, 10), c.want)
		})
	}
}

func TestQueues_PlacementOrder(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "light", Weight: 1}, {Name: "heavy", Weight: 2}})
	for i := range 6 {
		for _, name := range []string{"light", "heavy"} {
			task := testTask(name, i, 1)
			task.Queue = name
			e.Add(task)
		}
	}
	urgent := testTask("urgent", 99, 1)
	urgent.Priority = 1
	impossible := testTask("impossible", 98, 1000)
	impossible.Priority = 2
	addAll(e, urgent, impossible)
	// Equal shares go by Sequence, equal Sequences by name.
	expect(t, "first", placed(e, 1), "urgent/a/99@w")
	expect(t, "then by weight", placed(e, 6), "heavy/a/0@w light/a/0@w heavy/a/1@w light/a/1@w heavy/a/2@w heavy/a/3@w")
	expect(t, "waiting", e.Waiting(), 7)
}

func TestQueues_MaxRunning(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1, MaxRunning: 2}})
	addAll(e, gangOf("g", 1, 1, 1)...)
	addAll(e, testTask("j", 5, 1), testTask("j", 6, 1), testTask("j", 7, 1))
	expect(t, "up to the limit", placed(e, 10), "j/a/5@w j/a/6@w")
	expect(t, "reason", e.Reason(testTask("j", 7, 1).ID), `quota: queue "q" has its 2 running tasks`)
	e.Release(testTask("j", 5, 1).ID)
	expect(t, "one released", placed(e, 10), "j/a/7@w")
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1, MaxRunning: 5}})
	expect(t, "raised", placed(e, 10), "g/a/0@w g/a/1@w g/a/2@w")
	addAll(e, gangOf("h", 1, 1)...)
	expect(t, "group over the limit", placed(e, 10), "")
	expect(t, "reason", e.Reason(record.TaskID{Job: "h", Step: "a"}), `quota: queue "q" has its 5 running tasks, group needs 2`)
	e.Release(testTask("j", 6, 1).ID)
	expect(t, "one released", placed(e, 10), "")
	e.Release(testTask("j", 7, 1).ID)
	expect(t, "two released", placed(e, 10), "h/a/0@w h/a/1@w")
}

func TestSpread_MaxPerDomain(t *testing.T) {
	workers := make([]Worker, 3)
	for i := range workers {
		workers[i] = testWorker(fmt.Sprintf("w%d", i), cpu(10))
		workers[i].Zone = []string{"z1", "z1", "z2"}[i]
		workers[i].Labels = []map[string]string{{"rack": "r1"}, nil, {"rack": "r1"}}[i]
	}
	cases := []struct {
		by      string
		most    int
		want    int
		blocked string
	}{
		{"worker", 0, 3, "spread: at most 1 running per worker"},
		{"worker", 2, 6, "spread: at most 2 running per worker"},
		{"zone", 1, 2, "spread: at most 1 running per zone"},
		{"label:rack", 1, 1, "spread: at most 1 running per label:rack"},
		{"label:row", 1, 0, "spread: no worker has a label:row"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.by, c.most), func(t *testing.T) {
			e := newEngine(workers...)
			for i := range 7 {
				e.Add(spreadTask(i, c.by, c.most))
			}
			decisions := e.Plan(100)
			expect(t, "placed", len(decisions), c.want)
			expect(t, "reason", e.Reason(spreadTask(6, c.by, c.most).ID), c.blocked)
			if c.want == 0 {
				return
			}
			e.Release(decisions[0].Task)
			expect(t, "after a release", len(e.Plan(100)), 1)
		})
	}
}

func TestSpread_CountsAddedRunsAndFollowsWorkerLabels(t *testing.T) {
	e := newEngine(testWorker("a", cpu(10)))
	e.AddRun(spreadTask(0, "zone", 1), "late-1")
	e.Add(spreadTask(1, "zone", 1))
	late := testWorker("late", cpu(10))
	e.SetWorker(late)
	expect(t, "held in the zone", placed(e, 10), "")
	late.Zone = "z2"
	e.SetWorker(late)
	expect(t, "held elsewhere", placed(e, 10), "spread/a/1@a")
}

func TestSpread_CountsRunsAddedBeforeRule(t *testing.T) {
	a := testWorker("a", cpu(10))
	e := newEngine(a, testWorker("b", cpu(10)))
	e.AddRun(testTask("spread", 0, 1), "a-1")
	e.Add(spreadTask(1, "zone", 1))
	expect(t, "zone is taken", placed(e, 10), "")
	a.Usable = false
	e.SetWorker(a)
	expect(t, "still taken", placed(e, 10), "")
	e.Release(testTask("spread", 0, 1).ID)
	expect(t, "room on another worker of the zone", placed(e, 10), "spread/a/1@b")
}

func TestEngine_CallsAreIdempotent(t *testing.T) {
	e := newEngine(testWorker("w", cpu(10)))
	task := testTask("j", 0, 4)
	addAll(e, task, task)
	expect(t, "added twice", e.Waiting(), 1)
	e.Remove(task.ID)
	e.Remove(task.ID)
	expect(t, "removed twice", e.Waiting(), 0)
	e.AddRun(task, "w-1")
	e.AddRun(task, "w-1")
	expect(t, "held twice", e.workers.byID["w-1"].free, cpu(6))
	e.Add(task)
	expect(t, "held does not wait", e.Waiting(), 0)
	e.Release(task.ID)
	e.Release(task.ID)
	expect(t, "released twice", e.workers.byID["w-1"].free, cpu(10))
	e.Add(task)
	e.AddRun(task, "w-1")
	expect(t, "hold takes it out", e.Waiting(), 0)
	e.RemoveWorker("w-1")
	e.RemoveWorker("w-1")
	expect(t, "runs forgotten", len(e.runs.open)+e.queues.get("q").running+len(e.runs.steps.byID), 0)
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
	expect(t, "state", len(e.classes.byKey)+len(e.runs.steps.byID)+len(e.backlog.gangs)+len(e.backlog.levels)+len(e.runs.open)+len(e.backlog.tasks), 0)
	for _, p := range e.workers.pools {
		expect(t, "pool", p.classes+len(p.unschedulable), 0)
	}
}

func TestEngine_RunsOnUnknownAndShrunkWorkers(t *testing.T) {
	e := newEngine()
	e.AddRun(testTask("held", 0, 6), "w-1")
	e.Add(testTask("j", 0, 5))
	e.SetWorker(testWorker("w", cpu(10)))
	expect(t, "held room counts", placed(e, 10), "")
	expect(t, "reason", e.Reason(testTask("j", 0, 5).ID), "no room: needs 5 cpu_millis, most free 4")
	e.SetWorker(testWorker("w", cpu(5)))
	e.Add(testTask("none", 1, 0))
	expect(t, "below zero", placed(e, 10), "")
	e.SetWorker(testWorker("w", cpu(6)))
	expect(t, "zero", placed(e, 10), "none/a/1@w")
	e.Release(testTask("held", 0, 6).ID)
	expect(t, "released", placed(e, 10), "j/a/0@w")
}

func TestReason_AndFeasible(t *testing.T) {
	ready := testWorker("w", cpu(1200))
	ready.Labels = map[string]string{"disk": "ssd"}
	closed := ready
	closed.Usable = false
	cases := []struct {
		name             string
		workers          []Worker
		edit             func(*api.TaskSpec)
		reason, possible string
	}{
		{"no worker", nil, func(*api.TaskSpec) {}, "no usable worker", "no worker"},
		{"not usable", []Worker{closed}, func(*api.TaskSpec) {}, "no usable worker", ""},
		{"service", []Worker{ready}, func(s *api.TaskSpec) { s.Service = "x" }, `no worker offers service "x"`, `no worker offers service "x"`},
		{
			"labels",
			[]Worker{ready},
			func(s *api.TaskSpec) { s.Labels = map[string]string{"k": "v", "disk": "ssd"} },
			"no worker with labels disk=ssd, k=v", "no worker with labels disk=ssd, k=v",
		},
		{
			"room",
			[]Worker{ready},
			func(s *api.TaskSpec) { s.Resources = cpu(4000) },
			"no room: needs 4000 cpu_millis, most free 1200", "no worker is large enough: needs 4000 cpu_millis, largest has 1200",
		},
		{
			"domain",
			[]Worker{ready},
			func(s *api.TaskSpec) { s.Spread = &api.Spread{By: "label:rack"} },
			"spread: no worker has a label:rack", "spread: no worker has a label:rack",
		},
		{"fits", []Worker{ready}, func(*api.TaskSpec) {}, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(c.workers...)
			task := testTask("j", 0, 1)
			c.edit(task.Spec)
			e.Add(task)
			e.Plan(10)
			expect(t, "reason", e.Reason(task.ID), c.reason)
			possible, why := e.Feasible(task.Spec, c.workers)
			expect(t, "possible", possible, c.possible == "")
			expect(t, "why", why, c.possible)
		})
	}
}
