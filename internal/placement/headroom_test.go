package placement

import (
	"testing"

	"github.com/decklever/decklever/api"
)

// lowTasks are tasks of a queue of low priority.
func lowTasks(job string, count int, need int64) []Task {
	return stepOf(job, count, need, func(task *Task) { task.Queue, task.StepSize = "low", 0 })
}

// TestHeadroom_IsLeftToOtherQueues: work of a queue with headroom leaves a share of each
// worker to what comes later and is more urgent.
func TestHeadroom_IsLeftToOtherQueues(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)), testWorker("b", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 20}, {Name: "q", Weight: 1}})
	addAll(e, lowTasks("low", 20, 10)...)
	expect(t, "of low priority", countBy(e, name), map[string]int{"a": 8, "b": 8})
	addAll(e, stepOf("urgent", 4, 10, nil)...)
	expect(t, "urgent", countBy(e, name), map[string]int{"a": 2, "b": 2})
	expect(t, "waiting", e.Waiting(), 4)
}

// TestHeadroom_EndsWithItsRule: a configuration without it lets what waits in.
func TestHeadroom_EndsWithItsRule(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 30}})
	addAll(e, lowTasks("low", 10, 10)...)
	expect(t, "with headroom", countBy(e, name), map[string]int{"a": 7})
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1}})
	expect(t, "without", countBy(e, name), map[string]int{"a": 3})
}

// TestHeadroom_LargeTaskIsStillPlaced: what cannot leave it on an empty worker runs
// all the same, and gangs do.
func TestHeadroom_LargeTaskIsStillPlaced(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"a large task": lowTasks("low", 1, 90),
		"a gang":       stepOf("low", 2, 50, func(task *Task) { task.Queue, task.Gang, task.GangSize = "low", "low/a", 2 }),
	} {
		e := newEngine(testWorker("a", cpu(100)))
		e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 50}})
		addAll(e, tasks...)
		expect(t, what, countBy(e, name), map[string]int{"a": len(tasks)})
	}
}

// TestHeadroom_FreedCapacityActivatesTasks: it is placed once an end makes enough
// capacity, and not before.
func TestHeadroom_FreedCapacityActivatesTasks(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 20}})
	tasks := lowTasks("low", 9, 10)
	addAll(e, tasks...)
	expect(t, "at first", countBy(e, name), map[string]int{"a": 8})
	expect(t, "nothing came free", countBy(e, name), map[string]int{})
	e.Release(tasks[0].ID)
	expect(t, "after an end", countBy(e, name), map[string]int{"a": 1})
}

// labelled are tasks that only workers of the label's value may take.
func labelled(tasks []Task, value string) []Task {
	for i := range tasks {
		spec := *tasks[i].Spec
		spec.Labels = map[string]string{"rack": value}
		tasks[i].Spec = &spec
	}
	return tasks
}

// threeRacks are workers a, b and c, each in a rack of its own.
func threeRacks() *Engine {
	var workers []Worker
	for _, name := range []string{"a", "b", "c"} {
		one := testWorker(name, cpu(100))
		one.Labels = map[string]string{"rack": name}
		workers = append(workers, one)
	}
	e := newEngine(workers...)
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 30}, {Name: "q", Weight: 1}})
	return e
}

// TestHeadroom_IgnoredAtLowUtilization: the one worker that may take a task is
// full of runs that last, and all others are idle.
func TestHeadroom_IgnoredAtLowUtilization(t *testing.T) {
	e := threeRacks()
	addAll(e, labelled(lowTasks("lasting", 7, 10), "a")...)
	expect(t, "lasting", countBy(e, name), map[string]int{"a": 7})
	addAll(e, labelled(lowTasks("other", 1, 10), "a")...)
	expect(t, "other", countBy(e, name), map[string]int{"a": 1})
}

// TestHeadroom_RespectedWhereOtherWorkersFit: it comes before filling the fullest.
func TestHeadroom_RespectedWhereOtherWorkersFit(t *testing.T) {
	e := threeRacks()
	addAll(e, lowTasks("low", 15, 10)...)
	expect(t, "of low priority", countBy(e, name), map[string]int{"a": 7, "b": 7, "c": 1})
}

// TestHeadroom_BlockedTasksActivateAtLowUtilization: capacity comes free only where the
// work that waits cannot run.
func TestHeadroom_BlockedTasksActivateAtLowUtilization(t *testing.T) {
	e := threeRacks()
	elsewhere := labelled(stepOf("urgent", 20, 10, nil), "b")
	for i := range elsewhere[10:] {
		elsewhere[10+i].Spec.Labels["rack"] = "c"
	}
	addAll(e, elsewhere...)
	expect(t, "urgent", countBy(e, name), map[string]int{"b": 10, "c": 10})
	addAll(e, labelled(lowTasks("low", 8, 10), "a")...)
	expect(t, "blocked", countBy(e, name), map[string]int{"a": 7})
	expect(t, "nothing came free", countBy(e, name), map[string]int{})
	for _, task := range elsewhere[:10] {
		e.Release(task.ID)
	}
	expect(t, "no longer crowded", countBy(e, name), map[string]int{"a": 1})
}

// TestHeadroom_SpreadTasksAreExempt: its rule may leave it few workers for ever.
func TestHeadroom_SpreadTasksAreExempt(t *testing.T) {
	e := threeRacks()
	addAll(e, stepOf("urgent", 24, 10, nil)...)
	expect(t, "urgent", countBy(e, name), map[string]int{"a": 10, "b": 10, "c": 4})
	addAll(e, lowTasks("low", 3, 10)...)
	expect(t, "low", countBy(e, name), map[string]int{"c": 3})
	spread := lowTasks("spread", 1, 10)
	spec := *spread[0].Spec
	spec.Spread = &api.Spread{By: "worker", MaxPerDomain: 1}
	spread[0].Spec = &spec
	addAll(e, spread...)
	expect(t, "spread", countBy(e, name), map[string]int{"c": 1})
}
