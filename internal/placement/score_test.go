package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

func TestScore_FullestWorkerFirst(t *testing.T) {
	cases := []struct {
		name    string
		workers []Worker
		want    string
	}{
		{"least free", []Worker{testWorker("a", cpu(100)), testWorker("b", cpu(40)), testWorker("c", cpu(9))}, "j/a/0@b"},
		{"ties by name", []Worker{testWorker("c", cpu(40)), testWorker("b", cpu(40))}, "j/a/0@b"},
		{"size relative to the largest amounts", []Worker{
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

// rackWorker returns a testWorker in a zone, with labels given as "KEY=VALUE".
func rackWorker(name, zone string, capacity int64, labels ...string) Worker {
	w := testWorker(name, cpu(capacity))
	w.Zone = zone
	w.Labels = map[string]string{}
	for _, label := range labels {
		key, value, _ := strings.Cut(label, "=")
		w.Labels[key] = value
	}
	return w
}

// stepOf returns count tasks of one step, each modified by change if that is not nil.
func stepOf(job string, count int, need int64, change func(*Task)) []Task {
	var tasks []Task
	for i := range count {
		task := testTask(job, i, need)
		task.StepSize = count
		if change != nil {
			change(&task)
		}
		tasks = append(tasks, task)
	}
	return tasks
}

// countBy plans without an effective limit and counts the decisions by the key that the
// function returns for the worker's name.
func countBy(e *Engine, key func(worker string) string) map[string]int {
	counts := map[string]int{}
	for _, d := range e.Plan(1000) {
		counts[key(d.Worker)]++
	}
	return counts
}

// workerName is the key for countBy that counts by worker.
func workerName(worker string) string { return worker }

func TestPreferences_PreferredWorkerIsTakenIfItFits(t *testing.T) {
	cases := []struct {
		name    string
		workers []Worker
		want    string
	}{
		{"before a fuller one", []Worker{rackWorker("a", "z1", 10), rackWorker("b", "z1", 90, "disk=ssd")}, "j/a/0@b"},
		{"any other if it is full", []Worker{rackWorker("a", "z1", 50), rackWorker("b", "z1", 9, "disk=ssd")}, "j/a/0@a"},
		{"any other if the label value differs", []Worker{rackWorker("a", "z1", 50), rackWorker("b", "z1", 60, "disk=hdd")}, "j/a/0@a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(c.workers...)
			task := testTask("j", 0, 10)
			task.Spec.Prefer = map[string]string{"disk": "ssd"}
			e.Add(task)
			expect(t, "decisions", placed(e, 10), c.want)
		})
	}
}

func TestPreferences_RetryAvoidsWorkersThatFailed(t *testing.T) {
	e := newEngine(testWorker("a", cpu(10)), testWorker("b", cpu(20)), testWorker("c", cpu(30)))
	task := testTask("j", 0, 10)
	task.Avoid = []string{"a", "b"}
	e.Add(task)
	expect(t, "decisions while another worker has capacity", placed(e, 10), "j/a/0@c")
	e.Release(task.ID)
	e.RemoveWorker("c-1")
	e.Add(task)
	expect(t, "decisions if runs failed on all workers left", placed(e, 10), "j/a/0@a")
}

func TestPreferences_SlowWorkerComesLast(t *testing.T) {
	slow := testWorker("a", cpu(10))
	slow.Slow = true
	e := newEngine(slow, testWorker("b", cpu(20)))
	addAll(e, testTask("j", 0, 10), testTask("j", 1, 10), testTask("j", 2, 10))
	expect(t, "decisions", placed(e, 10), "j/a/0@b j/a/1@b j/a/2@a")
	slow.Slow = false
	e.SetWorker(slow)
	expect(t, "slow workers", e.workers.slowCount, 0)
}

func TestPreferences_AtMostHalfOfStepOnOneWorker(t *testing.T) {
	cases := []struct {
		name       string
		tasks      int
		capacities []int64
		want       map[string]int
	}{
		{"two halves", 6, []int64{100, 100, 100}, map[string]int{"w0": 3, "w1": 3}},
		{"odd", 5, []int64{100, 100}, map[string]int{"w0": 3, "w1": 2}},
		{"a pair", 2, []int64{100, 100}, map[string]int{"w0": 1, "w1": 1}},
		{"no capacity elsewhere", 6, []int64{100, 10}, map[string]int{"w0": 5, "w1": 1}},
		{"a single task", 1, []int64{100, 100}, map[string]int{"w0": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine()
			for i, capacity := range c.capacities {
				e.SetWorker(testWorker(fmt.Sprint("w", i), cpu(capacity)))
			}
			addAll(e, stepOf("j", c.tasks, 10, nil)...)
			expect(t, "runs by worker", countBy(e, workerName), c.want)
		})
	}
}

func TestPreferences_Colocate(t *testing.T) {
	// racks returns racks x and y of three workers each, whose capacities are x and y.
	// Rack y always has less capacity.
	racks := func(x, y int64) []Worker {
		var workers []Worker
		for i := range 3 {
			workers = append(workers,
				rackWorker(fmt.Sprint("x", i), "z1", x, "rack=x"), rackWorker(fmt.Sprint("y", i), "z2", y, "rack=y"))
		}
		return workers
	}
	rack := func(worker string) string { return worker[:1] }
	cases := []struct {
		name    string
		workers []Worker
		tasks   int
		isGang  bool
		want    map[string]int
	}{
		{"least capacity that holds all", racks(100, 40), 6, false, map[string]int{"y": 6}},
		{"the only one that holds all", racks(100, 10), 6, false, map[string]int{"x": 6}},
		{"most in the one with most capacity", racks(20, 10), 8, false, map[string]int{"x": 6, "y": 2}},
		{"gang", racks(20, 10), 8, true, map[string]int{"x": 6, "y": 2}},
		{"single worker without a rack", []Worker{testWorker("z", cpu(100))}, 2, false, map[string]int{"z": 2}},
	}
	for _, by := range []string{"zone", "label:rack"} {
		for _, c := range cases {
			t.Run(by+" "+c.name, func(t *testing.T) {
				e := newEngine(c.workers...)
				addAll(e, stepOf("j", c.tasks, 10, func(task *Task) {
					task.Colocate = by
					if c.isGang {
						task.Gang, task.GangSize = "j/a", c.tasks
					}
				})...)
				expect(t, "runs by rack", countBy(e, rack), c.want)
			})
		}
	}
}

func TestPreferences_CostsAreWeighedInOrder(t *testing.T) {
	// In this order, each worker has a higher cost than the next one, and is fuller.
	failed := rackWorker("a", "z1", 10, "disk=ssd")
	slow := rackWorker("b", "z1", 20, "disk=ssd")
	slow.Slow = true
	unwanted := rackWorker("c", "z1", 30)
	wanted := rackWorker("d", "z1", 40, "disk=ssd")
	e := newEngine(failed, slow, unwanted, wanted)
	for i := range 10 {
		task := testTask("j", i, 10)
		task.Avoid = []string{"a"}
		task.Spec = &api.TaskSpec{Service: "s", Resources: cpu(10), Prefer: map[string]string{"disk": "ssd"}}
		e.Add(task)
	}
	var order []string
	for _, d := range e.Plan(100) {
		order = append(order, d.Worker)
	}
	expect(t, "workers in the order of decisions", strings.Join(order, ""), "ddddcccbba")
}

func TestPreferences_PreferredDomainForgottenWithStep(t *testing.T) {
	e := newEngine(rackWorker("a", "z1", 10))
	task := testTask("j", 0, 10)
	task.Colocate = "zone"
	e.Add(task)
	e.Plan(1)
	e.Release(task.ID)
	expect(t, "number of steps", len(e.runs.steps.byID), 0)
	expect(t, "no open run of the zero task", e.runs.open[record.TaskID{}] == nil, true)
}
