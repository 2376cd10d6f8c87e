package placement

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// endless are tasks that run until cancelled.
func untilCancelled(tasks []Task) []Task {
	for i := range tasks {
		spec := *tasks[i].Spec
		spec.UntilCancelled = true
		tasks[i].Spec, tasks[i].UntilCancelled = &spec, true
	}
	return tasks
}

// gangWithCommonOutcome are the members of one group.
func gangWithCommonOutcome(job string, count int, need int64) []Task {
	return stepOf(job, count, need, func(task *Task) { task.Gang, task.GangSize = job+"/a", count })
}

func suspectWorker(name string, capacity int64) Worker {
	w := testWorker(name, cpu(capacity))
	w.Suspect = true
	return w
}

// TestLongRunning_DoesNotWaitForHeadroom: it would wait for as long as its service is
// crowded.
func TestLongRunning_DoesNotWaitForHeadroom(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 30}, {Name: "q", Weight: 1}})
	addAll(e, lowTasks("low", 7, 10)...)
	expect(t, "of low priority", countBy(e, name), map[string]int{"a": 7})
	addAll(e, lowTasks("more", 1, 10)...)
	addAll(e, untilCancelled(lowTasks("endless", 2, 10))...)
	expect(t, "endless", placed(e, 10), "endless/a/0@a endless/a/1@a")
}

// TestLongRunning_LeavesHeadroomWhereOtherWorkersFit: only waiting for it is not
// for them.
func TestLongRunning_LeavesHeadroomWhereOtherWorkersFit(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)), testWorker("b", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 30}, {Name: "q", Weight: 1}})
	addAll(e, untilCancelled(lowTasks("endless", 14, 10))...)
	expect(t, "endless", countBy(e, name), map[string]int{"a": 7, "b": 7})
	addAll(e, untilCancelled(lowTasks("more", 2, 10))...)
	if got := placed(e, 10); got == "" {
		t.Error("none is placed where no room leaves headroom")
	}
}

// TestLongRunning_UsesRestrictedWorkersLast: also several on one, and beside what runs
// there already.
func TestLongRunning_UsesRestrictedWorkersLast(t *testing.T) {
	onProbation := testWorker("p", cpu(20))
	onProbation.Probation = true
	for what, guarded := range map[string]Worker{"held back": suspectWorker("p", 20), "on probation": onProbation} {
		e := newEngine(guarded, testWorker("t", cpu(20)))
		addAll(e, untilCancelled(stepOf("j", 5, 10, func(task *Task) { task.StepSize = 0 }))...)
		expect(t, what, placed(e, 10), "j/a/0@t j/a/1@t j/a/2@p j/a/3@p")
	}
}

// TestLongRunning_GangUsesRestrictedWorkersLast: a group needs all its places at once.
func TestLongRunning_GangUsesRestrictedWorkersLast(t *testing.T) {
	e := newEngine(suspectWorker("h", 30), testWorker("t", cpu(20)))
	addAll(e, untilCancelled(gangWithCommonOutcome("g", 4, 10))...)
	expect(t, "members", countBy(e, name), map[string]int{"t": 2, "h": 2})
}

// TestRestricted_SuspectWorkerTriedAtLowUtilization: one at a time, and none on its
// last attempt.
func TestRestricted_SuspectWorkerTriedAtLowUtilization(t *testing.T) {
	cases := []struct {
		name   string
		mayTry bool
		// elsewhere is what is taken of a worker that the tasks cannot use.
		elsewhere int64
		want      string
	}{
		{"most room is free", true, 10, "j/a/0@h"},
		{"on a last attempt", false, 10, ""},
		{"the service is crowded", true, 140, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, trusted, other := suspectWorker("h", 50), testWorker("t", cpu(50)), testWorker("other", cpu(200))
			h.Labels, trusted.Labels = map[string]string{"rack": "r"}, map[string]string{"rack": "r"}
			e := newEngine(h, trusted, other)
			e.AddRun(testTask("full", 0, 50), "t-1")
			e.AddRun(testTask("elsewhere", 0, c.elsewhere), "other-1")
			tasks := stepOf("j", 2, 10, func(task *Task) { task.StepSize, task.AllowsProbation = 0, c.mayTry })
			addAll(e, labelled(tasks, "r")...)
			expect(t, "decisions", placed(e, 10), c.want)
			if c.want == "" && c.mayTry {
				e.Release(testTask("elsewhere", 0, 0).ID)
				expect(t, "no longer crowded", placed(e, 10), "j/a/0@h")
			}
			e.Release(testTask("full", 0, 0).ID)
			e.Release(tasks[0].ID)
			expect(t, "trusted first", countBy(e, name)["h"], 0)
		})
	}
}

// rackedWorker is a worker of the rack r.
func rackedWorker(name string, capacity int64) Worker {
	w := testWorker(name, cpu(capacity))
	w.Labels = map[string]string{"rack": "r"}
	return w
}

// engineWithGangDrain is an engine in which a group of two has room put aside on a, and waits
// for room on b.
func engineWithGangDrain(room int64, others ...Task) *Engine {
	e := newEngine(rackedWorker("a", room), rackedWorker("b", room))
	e.AddRun(testTask("long", 0, room), "a-1")
	e.AddRun(testTask("long", 1, room), "b-1")
	group := labelled(gangOf("g", room, room), "r")
	for i := range group {
		group[i].Spec.Spread = &api.Spread{By: "worker"}
	}
	addAll(e, group...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	addAll(e, others...)
	e.Release(testTask("long", 0, room).ID)
	return e
}

// TestLongRunning_UsesCapacityDrainedForGang: it may be put aside for long.
func TestLongRunning_UsesCapacityDrainedForGang(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"one alone":          untilCancelled([]Task{testTask("x", 8, 1)}),
		"two alone":          untilCancelled([]Task{testTask("x", 8, 1), testTask("x", 9, 1)}),
		"all the room":       untilCancelled([]Task{testTask("x", 8, 2), testTask("x", 9, 2)}),
		"a group":            untilCancelled(gangWithCommonOutcome("x", 2, 1)),
		"a group, all of it": untilCancelled(gangWithCommonOutcome("x", 2, 2)),
	} {
		e := engineWithGangDrain(4, tasks...)
		expect(t, what, countBy(e, name), map[string]int{"a": len(tasks)})
		for _, task := range tasks {
			e.Release(task.ID)
		}
		expect(t, "gathers again", countBy(e, name), map[string]int{})
		expect(t, "put aside", e.workers.byID["a-1"].nominated, cpu(4))
		e.Release(testTask("long", 1, 4).ID)
		expect(t, "room of the second", placed(e, 10), "")
		expect(t, "whole", placed(e, 10), "g/a/0@a g/a/1@b")
	}
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

// TestLongRunning_ActivatedByCapacityBesideGangDrain: neither part is enough
// alone.
func TestLongRunning_ActivatedByCapacityBesideGangDrain(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"alone":   untilCancelled([]Task{testTask("x", 8, 6)}),
		"a group": untilCancelled(gangWithCommonOutcome("x", 2, 3)),
	} {
		e := engineWithGangDrain(4)
		expect(t, what, placed(e, 10), "")
		e.SetWorker(rackedWorker("a", 8))
		e.AddRun(testTask("beside", 0, 4), "a-1")
		addAll(e, tasks...)
		expect(t, what+" in no room", placed(e, 10), "")
		expect(t, "put aside", e.workers.byID["a-1"].nominated, cpu(4))
		e.Release(testTask("beside", 0, 4).ID)
		expect(t, what, countBy(e, name), map[string]int{"a": len(tasks)})
	}
}

// TestGang_ActivatedByCapacityBesideGangDrain: what came is no place as long as the
// rest is put aside.
func TestGang_ActivatedByCapacityBesideGangDrain(t *testing.T) {
	e := engineWithGangDrain(4)
	expect(t, "gathers", placed(e, 10), "")
	e.SetWorker(rackedWorker("a", 8))
	e.SetWorker(testWorker("c", cpu(6)))
	e.AddRun(testTask("beside", 0, 4), "a-1")
	addAll(e, untilCancelled(gangWithCommonOutcome("x", 2, 6))...)
	expect(t, "in no room", placed(e, 10), "")
	e.Release(testTask("beside", 0, 4).ID)
	expect(t, "members", countBy(e, name), map[string]int{"a": 1, "c": 1})
}

// TestGangDrain_OthersUseWhatIsLeft: an endless task needs only a part of it.
func TestGangDrain_OthersUseWhatIsLeft(t *testing.T) {
	e := engineWithGangDrain(4, testTask("small", 8, 3))
	expect(t, "put aside", placed(e, 10), "")
	addAll(e, untilCancelled([]Task{testTask("x", 9, 1)})...)
	expect(t, "a part", placed(e, 10), "x/a/9@a")
	expect(t, "the rest", placed(e, 10), "small/a/8@a")
}

// TestGangDrain_EndsOnceGangCannotFit: an endless run has come where the group needs all.
func TestGangDrain_EndsOnceGangCannotFit(t *testing.T) {
	e := engineWithGangDrain(4, untilCancelled([]Task{testTask("x", 8, 1)})...)
	expect(t, "endless", placed(e, 10), "x/a/8@a")
	e.Release(testTask("long", 1, 4).ID)
	expect(t, "gathers on", placed(e, 10), "")
	e.Add(testTask("small", 9, 4))
	for range gangDrainSearchInterval {
		if placed(e, 10) == "small/a/9@b" {
			return
		}
	}
	t.Fatal("room is kept for a group that cannot come whole")
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
	expect(t, "whole, at once or in the next pass", len(e.Plan(10))+len(e.Plan(10)), 3)
}

// TestGangDrain_NotStartedBehindLongRunningRuns: it never comes free, and what the group
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
// where the next pass looks for a group.
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
