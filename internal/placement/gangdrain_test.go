package placement

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

func TestGangDrain_ReservesFreedCapacityForGang(t *testing.T) {
	e := newEngine(testWorker("a", cpu(2)), testWorker("b", cpu(2)))
	e.AddRun(testTask("long", 0, 2), "a-1")
	e.AddRun(testTask("long", 1, 2), "b-1")
	addAll(e, gangOf("g", 2, 2)...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	addAll(e, testTask("small", 8, 1), testTask("small", 9, 1))
	e.Release(testTask("long", 0, 2).ID)
	expect(t, "reserved for the gang", placed(e, 10), "")
	e.Release(testTask("long", 1, 2).ID)
	expect(t, "capacity for the second member reserved", placed(e, 10), "")
	expect(t, "gang complete", placed(e, 10), "g/a/0@a g/a/1@b")
	e.Release(record.TaskID{Job: "g", Step: "a"})
	expect(t, "other tasks after the gang", placed(e, 10), "small/a/8@a small/a/9@a")
}

func TestGangDrain_EndsOnceMemberRemoved(t *testing.T) {
	e := newEngine(testWorker("a", cpu(2)), testWorker("b", cpu(2)))
	e.AddRun(testTask("long", 0, 2), "a-1")
	e.AddRun(testTask("long", 1, 2), "b-1")
	gang := gangOf("g", 2, 2)
	addAll(e, gang...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	e.Release(testTask("long", 0, 2).ID)
	e.Add(testTask("small", 8, 1))
	expect(t, "reserved for the gang", placed(e, 10), "")
	e.Remove(gang[0].ID)
	expect(t, "after a member was removed", placed(e, 10), "small/a/8@a")
	expect(t, "nominated after the drain", e.workers.byID["a-1"].nominated, api.Resources{})
}

// TestGangDrain_KeepsCapacityUnusedByLongRunningTask: drained capacity stays nominated if
// a long-running task does not fit in it, and if the task fits beside it.
func TestGangDrain_KeepsCapacityUnusedByLongRunningTask(t *testing.T) {
	e := engineWithGangDrain(4, untilCancelled([]Task{testTask("large", 8, 5)})...)
	expect(t, "too large for the free capacity", placed(e, 10), "")
	expect(t, "drained", e.workers.byID["a-1"].nominated, cpu(4))
	e.SetWorker(workerInRack("a", 9))
	expect(t, "fits beside the drained capacity", placed(e, 10), "large/a/8@a")
	expect(t, "still drained", e.workers.byID["a-1"].nominated, cpu(4))
}

// TestGangDrain_OtherTasksUseRemainingCapacity: a long-running task takes a part of the
// drained capacity. The rest is too small for the gang's member, so other tasks may use
// it.
func TestGangDrain_OtherTasksUseRemainingCapacity(t *testing.T) {
	e := engineWithGangDrain(4, testTask("small", 8, 3))
	expect(t, "waits during the drain", placed(e, 10), "")
	addAll(e, untilCancelled([]Task{testTask("x", 9, 1)})...)
	expect(t, "takes a part of the drained capacity", placed(e, 10), "x/a/9@a")
	expect(t, "gets the rest", placed(e, 10), "small/a/8@a")
}

// TestGangDrain_EndsOnceGangCannotFit: the gang needs all of a, where a long-running task
// was placed.
func TestGangDrain_EndsOnceGangCannotFit(t *testing.T) {
	e := engineWithGangDrain(4, untilCancelled([]Task{testTask("x", 8, 1)})...)
	expect(t, "long-running task", placed(e, 10), "x/a/8@a")
	e.Release(testTask("long", 1, 4).ID)
	expect(t, "drain continues", placed(e, 10), "")
	e.Add(testTask("small", 9, 4))
	for range gangDrainSearchInterval {
		if placed(e, 10) == "small/a/9@b" {
			return
		}
	}
	t.Fatal("small task was not placed on b: capacity is still drained for a gang that cannot fit")
}

// TestGangDrain_LongRunningGangUsesRestrictedWorkers: two members of a long-running gang
// are nominated on one suspect worker.
func TestGangDrain_LongRunningGangUsesRestrictedWorkers(t *testing.T) {
	e := newEngine(suspectWorker("a", 4), testWorker("b", cpu(2)))
	e.AddRun(testTask("long", 0, 2), "b-1")
	addAll(e, untilCancelled(gangWithCommonOutcome("x", 3, 2))...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	expect(t, "drained", e.workers.byID["a-1"].nominated, cpu(4))
	e.Release(testTask("long", 0, 2).ID)
	expect(t, "members placed in this pass and the next", len(e.Plan(10))+len(e.Plan(10)), 3)
}

// TestGangDrain_NotStartedBehindLongRunningRuns: a run until cancelled holds capacity
// that the gang needs. A drain could never complete, and no other task could use the
// drained capacity meanwhile.
func TestGangDrain_NotStartedBehindLongRunningRuns(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
	e.AddRun(untilCancelled([]Task{testTask("endless", 0, 1)})[0], "b-1")
	addAll(e, gangOf("g", 4, 4)...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	e.Add(testTask("small", 9, 4))
	expect(t, "other task", placed(e, 10), "small/a/9@a")
}

// TestGangDrain_LimitedAtLowUtilization: a drain holds the only worker on which a small
// task fits. If most capacity of the service is free, the drain must end soon after
// gangDrainLowUtilizationLimit; at high utilization it continues.
func TestGangDrain_LimitedAtLowUtilization(t *testing.T) {
	for what, highlyUtilized := range map[string]bool{"low utilization": false, "high utilization": true} {
		e := newEngine(testWorker("a", cpu(6)), testWorker("b", cpu(4)))
		e.AddRun(testTask("long", 0, 1), "b-1")
		if highlyUtilized {
			e.SetWorker(testWorker("c", cpu(20)))
			e.AddRun(testTask("beside", 0, 20), "c-1")
		}
		addAll(e, gangOf("g", 6, 4)...)
		now := record.Millis(1000)
		pass := func() string {
			now += 50
			e.SetTime(now)
			return placed(e, 10)
		}
		for range gangDrainAfterPasses + gangDrainSearchInterval {
			pass()
		}
		expect(t, what+": drained", e.workers.byID["a-1"].nominated, cpu(6))
		e.Add(testTask("small", 1, 6))
		added := now
		for now-added < 3000 && pass() == "" {
			continue
		}
		if placedEarly := now-added < 2500; placedEarly == highlyUtilized {
			t.Errorf("%s: got the small task placed, or still waiting, after %d ms, placed before 2500 ms %v, want the opposite", what, now-added, placedEarly)
		}
	}
}

// TestGangDrain_NextGangWaitsOnePass: a drain is given up in the pass before one that
// searches for a gang. A task that waited during the drain must be placed before the next
// drain starts.
func TestGangDrain_NextGangWaitsOnePass(t *testing.T) {
	e := newEngine(testWorker("a", cpu(6)), testWorker("b", cpu(4)))
	e.AddRun(testTask("long", 0, 1), "b-1")
	addAll(e, gangOf("g", 6, 4)...)
	addAll(e, gangOf("h", 6, 4)...)
	for e.gangDrains.current == nil || e.clock.pass%gangDrainSearchInterval != gangDrainSearchInterval-3 {
		e.Plan(10)
	}
	e.Add(testTask("small", 1, 6))
	expect(t, "waits during the drain", placed(e, 10), "")
	e.SetTime(gangDrainLowUtilizationLimit + 1)
	expect(t, "drain given up", placed(e, 10), "")
	expect(t, "waiting task goes first", placed(e, 10), "small/a/1@a")
}

// engineWithGangDrain returns an engine with workers a and b of that capacity, in which
// capacity is drained for a gang with one member for each worker. a is free for the gang
// from the next pass on, a run holds b.
func engineWithGangDrain(capacity int64, others ...Task) *Engine {
	e := newEngine(workerInRack("a", capacity), workerInRack("b", capacity))
	e.AddRun(testTask("long", 0, capacity), "a-1")
	e.AddRun(testTask("long", 1, capacity), "b-1")
	gang := withRackLabel(gangOf("g", capacity, capacity), "r")
	for i := range gang {
		gang[i].Spec.Spread = &api.Spread{By: "worker"}
	}
	addAll(e, gang...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	addAll(e, others...)
	e.Release(testTask("long", 0, capacity).ID)
	return e
}

// workerInRack returns a worker with the label rack=r.
func workerInRack(name string, capacity int64) Worker {
	w := testWorker(name, cpu(capacity))
	w.Labels = map[string]string{"rack": "r"}
	return w
}
