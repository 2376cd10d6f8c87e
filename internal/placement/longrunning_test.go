package placement

import (
	"testing"
)

// long-running are tasks that run until cancelled.
func untilCancelled(tasks []Task) []Task {
	for i := range tasks {
		spec := *tasks[i].Spec
		spec.UntilCancelled = true
		tasks[i].Spec, tasks[i].UntilCancelled = &spec, true
	}
	return tasks
}

// gangWithCommonOutcome are the members of one gang.
func gangWithCommonOutcome(job string, count int, need int64) []Task {
	return stepOf(job, count, need, func(task *Task) { task.Gang, task.GangSize = job+"/a", count })
}

func suspectWorker(name string, capacity int64) Worker {
	w := testWorker(name, cpu(capacity))
	w.Suspect = true
	return w
}

// TestLongRunning_DoesNotWaitForHeadroom: it would wait for as long as its service is
// highly utilized.
func TestLongRunning_DoesNotWaitForHeadroom(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 30}, {Name: "q", Weight: 1}})
	addAll(e, lowTasks("low", 7, 10)...)
	expect(t, "of low priority", countBy(e, name), map[string]int{"a": 7})
	addAll(e, lowTasks("more", 1, 10)...)
	addAll(e, untilCancelled(lowTasks("endless", 2, 10))...)
	expect(t, "long-running", placed(e, 10), "endless/a/0@a endless/a/1@a")
}

// TestLongRunning_LeavesHeadroomWhereOtherWorkersFit: only waiting for it is not
// for them.
func TestLongRunning_LeavesHeadroomWhereOtherWorkersFit(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)), testWorker("b", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 30}, {Name: "q", Weight: 1}})
	addAll(e, untilCancelled(lowTasks("endless", 14, 10))...)
	expect(t, "long-running", countBy(e, name), map[string]int{"a": 7, "b": 7})
	addAll(e, untilCancelled(lowTasks("more", 2, 10))...)
	if got := placed(e, 10); got == "" {
		t.Error("none is placed where no capacity leaves headroom")
	}
}

// TestLongRunning_UsesRestrictedWorkersLast: also several on one, and beside what runs
// there already.
func TestLongRunning_UsesRestrictedWorkersLast(t *testing.T) {
	onProbation := testWorker("p", cpu(20))
	onProbation.Probation = true
	for what, restricted := range map[string]Worker{"suspect": suspectWorker("p", 20), "on probation": onProbation} {
		e := newEngine(restricted, testWorker("t", cpu(20)))
		addAll(e, untilCancelled(stepOf("j", 5, 10, func(task *Task) { task.StepSize = 0 }))...)
		expect(t, what, placed(e, 10), "j/a/0@t j/a/1@t j/a/2@p j/a/3@p")
	}
}

// TestLongRunning_GangUsesRestrictedWorkersLast: a gang needs all its places at once.
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

// TestLongRunning_UsesCapacityDrainedForGang: it may be drained for long.
func TestLongRunning_UsesCapacityDrainedForGang(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"one alone":         untilCancelled([]Task{testTask("x", 8, 1)}),
		"two alone":         untilCancelled([]Task{testTask("x", 8, 1), testTask("x", 9, 1)}),
		"all the room":      untilCancelled([]Task{testTask("x", 8, 2), testTask("x", 9, 2)}),
		"a gang":            untilCancelled(gangWithCommonOutcome("x", 2, 1)),
		"a gang, all of it": untilCancelled(gangWithCommonOutcome("x", 2, 2)),
	} {
		e := engineWithGangDrain(4, tasks...)
		expect(t, what, countBy(e, name), map[string]int{"a": len(tasks)})
		for _, task := range tasks {
			e.Release(task.ID)
		}
		expect(t, "drained again", countBy(e, name), map[string]int{})
		expect(t, "put aside", e.workers.byID["a-1"].nominated, cpu(4))
		e.Release(testTask("long", 1, 4).ID)
		expect(t, "capacity of the second", placed(e, 10), "")
		expect(t, "complete", placed(e, 10), "g/a/0@a g/a/1@b")
	}
}

// TestLongRunning_ActivatedByCapacityBesideGangDrain: neither part is enough
// alone.
func TestLongRunning_ActivatedByCapacityBesideGangDrain(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"alone":  untilCancelled([]Task{testTask("x", 8, 6)}),
		"a gang": untilCancelled(gangWithCommonOutcome("x", 2, 3)),
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
// rest is drained.
func TestGang_ActivatedByCapacityBesideGangDrain(t *testing.T) {
	e := engineWithGangDrain(4)
	expect(t, "drained", placed(e, 10), "")
	e.SetWorker(rackedWorker("a", 8))
	e.SetWorker(testWorker("c", cpu(6)))
	e.AddRun(testTask("beside", 0, 4), "a-1")
	addAll(e, untilCancelled(gangWithCommonOutcome("x", 2, 6))...)
	expect(t, "without capacity", placed(e, 10), "")
	e.Release(testTask("beside", 0, 4).ID)
	expect(t, "members", countBy(e, name), map[string]int{"a": 1, "c": 1})
}
