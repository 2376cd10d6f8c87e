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
	expect(t, "capacity of the second", placed(e, 10), "")
	expect(t, "complete", placed(e, 10), "g/a/0@a g/a/1@b")
	e.Release(record.TaskID{Job: "g", Step: "a"})
	expect(t, "others go on", placed(e, 10), "small/a/8@a small/a/9@a")
}

func TestGangDrain_EndsAfterMaxPasses(t *testing.T) {
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
	expect(t, "reserved", placed(e, 10), "")
	e.Remove(gang[0].ID)
	expect(t, "a member left", placed(e, 10), "small/a/8@a")
	expect(t, "nothing promised", e.workers.byID["a-1"].nominated, api.Resources{})
}

// TestGangDrain_KeepsCapacityLongRunningTaskLeaves: what does not help it stays put
// aside, and so does the rest of it.
func TestGangDrain_KeepsCapacityLongRunningTaskLeaves(t *testing.T) {
	e := engineWithGangDrain(4, untilCancelled([]Task{testTask("large", 8, 5)})...)
	expect(t, "too large", placed(e, 10), "")
	expect(t, "put aside", e.workers.byID["a-1"].nominated, cpu(4))
	e.SetWorker(rackedWorker("a", 9))
	expect(t, "beside it", placed(e, 10), "large/a/8@a")
	expect(t, "still put aside", e.workers.byID["a-1"].nominated, cpu(4))
}

// TestGangDrain_OthersUseWhatIsLeft: a long-running task needs only a part of it.
func TestGangDrain_OthersUseWhatIsLeft(t *testing.T) {
	e := engineWithGangDrain(4, testTask("small", 8, 3))
	expect(t, "put aside", placed(e, 10), "")
	addAll(e, untilCancelled([]Task{testTask("x", 9, 1)})...)
	expect(t, "a part", placed(e, 10), "x/a/9@a")
	expect(t, "the rest", placed(e, 10), "small/a/8@a")
}

// TestGangDrain_EndsOnceGangCannotFit: a long-running run has come where the gang needs all.
func TestGangDrain_EndsOnceGangCannotFit(t *testing.T) {
	e := engineWithGangDrain(4, untilCancelled([]Task{testTask("x", 8, 1)})...)
	expect(t, "long-running", placed(e, 10), "x/a/8@a")
	e.Release(testTask("long", 1, 4).ID)
	expect(t, "drain goes on", placed(e, 10), "")
	e.Add(testTask("small", 9, 4))
	for range gangDrainSearchInterval {
		if placed(e, 10) == "small/a/9@b" {
			return
		}
	}
	t.Fatal("capacity is reserved for a gang that cannot come complete")
}

// TestGangDrain_LongRunningGangUsesRestrictedWorkers: several of them on one.
func TestGangDrain_LongRunningGangUsesRestrictedWorkers(t *testing.T) {
	e := newEngine(suspectWorker("a", 4), testWorker("b", cpu(2)))
	e.AddRun(testTask("long", 0, 2), "b-1")
	addAll(e, untilCancelled(gangWithCommonOutcome("x", 3, 2))...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	expect(t, "put aside", e.workers.byID["a-1"].nominated, cpu(4))
	e.Release(testTask("long", 0, 2).ID)
	expect(t, "complete, at once or in the next pass", len(e.Plan(10))+len(e.Plan(10)), 3)
}

// TestGangDrain_NotStartedBehindLongRunningRuns: it never comes free, and what the gang
// puts aside meanwhile nobody could use.
func TestGangDrain_NotStartedBehindLongRunningRuns(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
	e.AddRun(untilCancelled([]Task{testTask("endless", 0, 1)})[0], "b-1")
	addAll(e, gangOf("g", 4, 4)...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	e.Add(testTask("small", 9, 4))
	expect(t, "others go on", placed(e, 10), "small/a/9@a")
}

// TestGangDrain_IsShortAtLowUtilization: others have nothing to run on though
// the service is hardly used.
func TestGangDrain_IsShortAtLowUtilization(t *testing.T) {
	for what, crowded := range map[string]bool{"most is free": false, "crowded": true} {
		e := newEngine(testWorker("a", cpu(6)), testWorker("b", cpu(4)))
		e.AddRun(testTask("long", 0, 1), "b-1")
		if crowded {
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
		expect(t, what+": put aside", e.workers.byID["a-1"].nominated, cpu(6))
		e.Add(testTask("small", 1, 6))
		waited := now
		for now-waited < 3000 && pass() == "" {
			continue
		}
		if goesOn := now-waited < 2500; goesOn == crowded {
			t.Errorf("%s: small went on after %d ms: %v", what, now-waited, goesOn)
		}
	}
}

// TestGangDrain_NextGangWaitsOnePass: what waited for the first goes before it, also
// where the next pass looks for a gang.
func TestGangDrain_NextGangWaitsOnePass(t *testing.T) {
	e := newEngine(testWorker("a", cpu(6)), testWorker("b", cpu(4)))
	e.AddRun(testTask("long", 0, 1), "b-1")
	addAll(e, gangOf("g", 6, 4)...)
	addAll(e, gangOf("h", 6, 4)...)
	for e.gangDrains.current == nil || e.clock.pass%gangDrainSearchInterval != gangDrainSearchInterval-3 {
		e.Plan(10)
	}
	e.Add(testTask("small", 1, 6))
	expect(t, "waits", placed(e, 10), "")
	e.SetTime(gangDrainLowUtilizationLimit + 1)
	expect(t, "gives up", placed(e, 10), "")
	expect(t, "first", placed(e, 10), "small/a/1@a")
}

// engineWithGangDrain is an engine in which a gang of two has capacity drained on a, and waits
// for capacity on b.
func engineWithGangDrain(room int64, others ...Task) *Engine {
	e := newEngine(rackedWorker("a", room), rackedWorker("b", room))
	e.AddRun(testTask("long", 0, room), "a-1")
	e.AddRun(testTask("long", 1, room), "b-1")
	gang := labelled(gangOf("g", room, room), "r")
	for i := range gang {
		gang[i].Spec.Spread = &api.Spread{By: "worker"}
	}
	addAll(e, gang...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	addAll(e, others...)
	e.Release(testTask("long", 0, room).ID)
	return e
}

// rackedWorker is a worker of the rack r.
func rackedWorker(name string, capacity int64) Worker {
	w := testWorker(name, cpu(capacity))
	w.Labels = map[string]string{"rack": "r"}
	return w
}
