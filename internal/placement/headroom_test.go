package placement

import (
	"testing"

	"github.com/decklever/decklever/api"
)

// lowQueueTasks returns tasks of the queue "low".
func lowQueueTasks(job string, count int, need int64) []Task {
	return stepOf(job, count, need, func(task *Task) { task.Queue, task.StepSize = "low", 0 })
}

// TestHeadroom_LeftFreeForOtherQueues: tasks of a queue with headroom leave that share of
// each worker free for tasks of other queues that are added later.
func TestHeadroom_LeftFreeForOtherQueues(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)), testWorker("b", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, HeadroomPercent: 20}, {Name: "q", Weight: 1}})
	addAll(e, lowQueueTasks("low", 20, 10)...)
	expect(t, "low", countBy(e, workerName), map[string]int{"a": 8, "b": 8})
	addAll(e, stepOf("urgent", 4, 10, nil)...)
	expect(t, "urgent", countBy(e, workerName), map[string]int{"a": 2, "b": 2})
	expect(t, "waiting", e.Waiting(), 4)
}

// TestHeadroom_RemovedWithQueueRule: once the queue's rule has no headroom any more,
// waiting tasks may use that share.
func TestHeadroom_RemovedWithQueueRule(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, HeadroomPercent: 30}})
	addAll(e, lowQueueTasks("low", 10, 10)...)
	expect(t, "with headroom", countBy(e, workerName), map[string]int{"a": 7})
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1}})
	expect(t, "without", countBy(e, workerName), map[string]int{"a": 3})
}

// TestHeadroom_LargeTaskIsStillPlaced: a task that could not leave the headroom even on
// an empty worker is placed without it; so are gangs.
func TestHeadroom_LargeTaskIsStillPlaced(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"a large task": lowQueueTasks("low", 1, 90),
		"a gang":       stepOf("low", 2, 50, func(task *Task) { task.Queue, task.Gang, task.GangSize = "low", "low/a", 2 }),
	} {
		e := newEngine(testWorker("a", cpu(100)))
		e.SetQueues([]QueueRule{{Name: "low", Weight: 1, HeadroomPercent: 50}})
		addAll(e, tasks...)
		expect(t, what, countBy(e, workerName), map[string]int{"a": len(tasks)})
	}
}

// TestHeadroom_FreedCapacityActivatesTasks: a task that waits for headroom is placed once
// a run ends and frees enough capacity, and not before.
func TestHeadroom_FreedCapacityActivatesTasks(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, HeadroomPercent: 20}})
	tasks := lowQueueTasks("low", 9, 10)
	addAll(e, tasks...)
	expect(t, "at first", countBy(e, workerName), map[string]int{"a": 8})
	expect(t, "no run ended", countBy(e, workerName), map[string]int{})
	e.Release(tasks[0].ID)
	expect(t, "after a run ended", countBy(e, workerName), map[string]int{"a": 1})
}

// withRackLabel changes tasks so that only workers with the label rack=value may take them.
func withRackLabel(tasks []Task, value string) []Task {
	for i := range tasks {
		spec := *tasks[i].Spec
		spec.Labels = map[string]string{"rack": value}
		tasks[i].Spec = &spec
	}
	return tasks
}

// threeRacks returns an engine with workers a, b and c, each in its own rack.
func threeRacks() *Engine {
	var workers []Worker
	for _, name := range []string{"a", "b", "c"} {
		w := testWorker(name, cpu(100))
		w.Labels = map[string]string{"rack": name}
		workers = append(workers, w)
	}
	e := newEngine(workers...)
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, HeadroomPercent: 30}, {Name: "q", Weight: 1}})
	return e
}

// TestHeadroom_IgnoredAtLowUtilization: the only worker that a task may use has nothing
// free but the headroom, and all other workers are idle.
func TestHeadroom_IgnoredAtLowUtilization(t *testing.T) {
	e := threeRacks()
	addAll(e, withRackLabel(lowQueueTasks("lasting", 7, 10), "a")...)
	expect(t, "lasting", countBy(e, workerName), map[string]int{"a": 7})
	addAll(e, withRackLabel(lowQueueTasks("other", 1, 10), "a")...)
	expect(t, "other", countBy(e, workerName), map[string]int{"a": 1})
}

// TestHeadroom_RespectedWhereOtherWorkersFit: a task goes to an emptier worker rather
// than use the headroom of the fullest.
func TestHeadroom_RespectedWhereOtherWorkersFit(t *testing.T) {
	e := threeRacks()
	addAll(e, lowQueueTasks("low", 15, 10)...)
	expect(t, "low", countBy(e, workerName), map[string]int{"a": 7, "b": 7, "c": 1})
}

// TestHeadroom_BlockedTasksActivateAtLowUtilization: runs end only on a worker that the
// waiting task may not use. The service is no longer highly utilized then, so the task
// must be looked at again.
func TestHeadroom_BlockedTasksActivateAtLowUtilization(t *testing.T) {
	e := threeRacks()
	elsewhere := withRackLabel(stepOf("urgent", 20, 10, nil), "b")
	for i := range elsewhere[10:] {
		elsewhere[10+i].Spec.Labels["rack"] = "c"
	}
	addAll(e, elsewhere...)
	expect(t, "urgent", countBy(e, workerName), map[string]int{"b": 10, "c": 10})
	addAll(e, withRackLabel(lowQueueTasks("low", 8, 10), "a")...)
	expect(t, "blocked", countBy(e, workerName), map[string]int{"a": 7})
	expect(t, "no run ended", countBy(e, workerName), map[string]int{})
	for _, task := range elsewhere[:10] {
		e.Release(task.ID)
	}
	expect(t, "no longer highly utilized", countBy(e, workerName), map[string]int{"a": 1})
}

// TestHeadroom_SpreadTasksAreExempt: a task with a spread rule may use headroom, since the
// rule may allow it only a few workers for as long as it waits.
func TestHeadroom_SpreadTasksAreExempt(t *testing.T) {
	e := threeRacks()
	addAll(e, stepOf("urgent", 24, 10, nil)...)
	expect(t, "urgent", countBy(e, workerName), map[string]int{"a": 10, "b": 10, "c": 4})
	addAll(e, lowQueueTasks("low", 3, 10)...)
	expect(t, "low", countBy(e, workerName), map[string]int{"c": 3})
	spread := lowQueueTasks("spread", 1, 10)
	spec := *spread[0].Spec
	spec.Spread = &api.Spread{By: "worker", MaxPerDomain: 1}
	spread[0].Spec = &spec
	addAll(e, spread...)
	expect(t, "spread", countBy(e, workerName), map[string]int{"c": 1})
}
