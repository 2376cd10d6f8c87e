package placement

import (
	"testing"
)

// untilCancelled changes the tasks to run until cancelled, and returns them.
func untilCancelled(tasks []Task) []Task {
	for i := range tasks {
		spec := *tasks[i].Spec
		spec.UntilCancelled = true
		tasks[i].Spec, tasks[i].UntilCancelled = &spec, true
	}
	return tasks
}

// gangWithCommonOutcome returns the members of one gang.
func gangWithCommonOutcome(job string, count int, need int64) []Task {
	return stepOf(job, count, need, func(task *Task) { task.Gang, task.GangSize = job+"/a", count })
}

func suspectWorker(name string, capacity int64) Worker {
	w := testWorker(name, cpu(capacity))
	w.Suspect = true
	return w
}

// TestLongRunning_DoesNotWaitForHeadroom guards against a task that runs until cancelled
// waiting for headroom: it would wait as long as its service is highly utilized.
func TestLongRunning_DoesNotWaitForHeadroom(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, HeadroomPercent: 30}, {Name: "q", Weight: 1}})
	addAll(e, lowQueueTasks("low", 7, 10)...)
	expect(t, "runs of the queue with headroom", countBy(e, workerName), map[string]int{"a": 7})
	addAll(e, lowQueueTasks("more", 1, 10)...)
	addAll(e, untilCancelled(lowQueueTasks("endless", 2, 10))...)
	expect(t, "placed long-running tasks", placed(e, 10), "endless/a/0@a endless/a/1@a")
}

// TestLongRunning_LeavesHeadroomWhereOtherWorkersFit: tasks that run until cancelled do
// not wait for headroom, but leave it free while they fit on a worker that has it.
func TestLongRunning_LeavesHeadroomWhereOtherWorkersFit(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)), testWorker("b", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, HeadroomPercent: 30}, {Name: "q", Weight: 1}})
	addAll(e, untilCancelled(lowQueueTasks("endless", 14, 10))...)
	expect(t, "long-running runs by worker", countBy(e, workerName), map[string]int{"a": 7, "b": 7})
	addAll(e, untilCancelled(lowQueueTasks("more", 2, 10))...)
	if got := placed(e, 10); got == "" {
		t.Error("no long-running task is placed once no worker has headroom left")
	}
}

// TestLongRunning_UsesRestrictedWorkersLast: tasks that run until cancelled use restricted
// workers once no other has capacity, with several runs on one such worker.
func TestLongRunning_UsesRestrictedWorkersLast(t *testing.T) {
	onProbation := testWorker("p", cpu(20))
	onProbation.Probation = true
	for what, restricted := range map[string]Worker{"suspect": suspectWorker("p", 20), "on probation": onProbation} {
		e := newEngine(restricted, testWorker("t", cpu(20)))
		addAll(e, untilCancelled(stepOf("j", 5, 10, func(task *Task) { task.StepSize = 0 }))...)
		expect(t, what, placed(e, 10), "j/a/0@t j/a/1@t j/a/2@p j/a/3@p")
	}
}

// TestLongRunning_GangUsesRestrictedWorkersLast: a gang needs capacity for all members at
// once, so some of them use a restricted worker in the same pass.
func TestLongRunning_GangUsesRestrictedWorkersLast(t *testing.T) {
	e := newEngine(suspectWorker("h", 30), testWorker("t", cpu(20)))
	addAll(e, untilCancelled(gangWithCommonOutcome("g", 4, 10))...)
	expect(t, "members by worker", countBy(e, workerName), map[string]int{"t": 2, "h": 2})
}

// TestRestricted_SuspectWorkerTriedAtLowUtilization: while the service is not highly
// utilized, a suspect worker gets one run at a time, and none of a task on its last
// attempt.
func TestRestricted_SuspectWorkerTriedAtLowUtilization(t *testing.T) {
	cases := []struct {
		name            string
		allowsProbation bool
		// otherUsed is the CPU (millis) in use on a worker that the tasks cannot use; it decides
		// whether the service is highly utilized.
		otherUsed int64
		want      string
	}{
		{"low utilization", true, 10, "j/a/0@h"},
		{"last attempt", false, 10, ""},
		{"high utilization", true, 140, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			suspect, unrestricted, other := suspectWorker("h", 50), testWorker("t", cpu(50)), testWorker("other", cpu(200))
			suspect.Labels, unrestricted.Labels = map[string]string{"rack": "r"}, map[string]string{"rack": "r"}
			e := newEngine(suspect, unrestricted, other)
			e.AddRun(testTask("full", 0, 50), "t-1")
			e.AddRun(testTask("elsewhere", 0, c.otherUsed), "other-1")
			tasks := stepOf("j", 2, 10, func(task *Task) { task.StepSize, task.AllowsProbation = 0, c.allowsProbation })
			addAll(e, withRackLabel(tasks, "r")...)
			expect(t, "decisions", placed(e, 10), c.want)
			if c.want == "" && c.allowsProbation {
				e.Release(testTask("elsewhere", 0, 0).ID)
				expect(t, "decisions once utilization is low", placed(e, 10), "j/a/0@h")
			}
			e.Release(testTask("full", 0, 0).ID)
			e.Release(tasks[0].ID)
			expect(t, "runs on the suspect worker while another has capacity", countBy(e, workerName)["h"], 0)
		})
	}
}

// TestLongRunning_UsesCapacityDrainedForGang guards against tasks that run until cancelled
// waiting for the end of a gang drain, which may last long. Once they release the capacity,
// it is drained again and the gang is placed.
func TestLongRunning_UsesCapacityDrainedForGang(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"one task":                     untilCancelled([]Task{testTask("x", 8, 1)}),
		"two tasks":                    untilCancelled([]Task{testTask("x", 8, 1), testTask("x", 9, 1)}),
		"two tasks using all capacity": untilCancelled([]Task{testTask("x", 8, 2), testTask("x", 9, 2)}),
		"gang":                         untilCancelled(gangWithCommonOutcome("x", 2, 1)),
		"gang using all capacity":      untilCancelled(gangWithCommonOutcome("x", 2, 2)),
	} {
		e := engineWithGangDrain(4, tasks...)
		expect(t, what, countBy(e, workerName), map[string]int{"a": len(tasks)})
		for _, task := range tasks {
			e.Release(task.ID)
		}
		expect(t, "runs while the capacity is drained again", countBy(e, workerName), map[string]int{})
		expect(t, "capacity nominated for the gang", e.workers.byID["a-1"].nominated, cpu(4))
		e.Release(testTask("long", 1, 4).ID)
		expect(t, "decisions in the pass that drains the second worker", placed(e, 10), "")
		expect(t, "placed gang", placed(e, 10), "g/a/0@a g/a/1@b")
	}
}

// TestLongRunning_ActivatedByCapacityBesideGangDrain: tasks that run until cancelled fit
// only in the drained and the freed capacity of a worker together. They must be tried
// again when the capacity beside the drained one is freed.
func TestLongRunning_ActivatedByCapacityBesideGangDrain(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"single task": untilCancelled([]Task{testTask("x", 8, 6)}),
		"gang":        untilCancelled(gangWithCommonOutcome("x", 2, 3)),
	} {
		e := engineWithGangDrain(4)
		expect(t, what, placed(e, 10), "")
		e.SetWorker(workerInRack("a", 8))
		e.AddRun(testTask("beside", 0, 4), "a-1")
		addAll(e, tasks...)
		expect(t, what+" before capacity is free", placed(e, 10), "")
		expect(t, "capacity nominated for the gang", e.workers.byID["a-1"].nominated, cpu(4))
		e.Release(testTask("beside", 0, 4).ID)
		expect(t, what, countBy(e, workerName), map[string]int{"a": len(tasks)})
	}
}

// TestGang_ActivatedByCapacityBesideGangDrain: a gang that runs until cancelled must be
// tried again when capacity is freed that holds a member only together with the capacity
// drained for another gang.
func TestGang_ActivatedByCapacityBesideGangDrain(t *testing.T) {
	e := engineWithGangDrain(4)
	expect(t, "decisions while capacity is drained", placed(e, 10), "")
	e.SetWorker(workerInRack("a", 8))
	e.SetWorker(testWorker("c", cpu(6)))
	e.AddRun(testTask("beside", 0, 4), "a-1")
	addAll(e, untilCancelled(gangWithCommonOutcome("x", 2, 6))...)
	expect(t, "decisions before capacity is free", placed(e, 10), "")
	e.Release(testTask("beside", 0, 4).ID)
	expect(t, "members by worker", countBy(e, workerName), map[string]int{"a": 1, "c": 1})
}
