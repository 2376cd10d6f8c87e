package placement

import (
	"testing"
)

// lowTasks are tasks of a queue of low priority.
func lowTasks(job string, count int, need int64) []Task {
	return stepOf(job, count, need, func(task *Task) { task.Queue, task.StepSize = "low", 0 })
}

// TestHeadroomIsLeftToOthers: work of a queue with headroom leaves a share of each
// worker to what comes later and is more urgent.
func TestHeadroomIsLeftToOthers(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)), testWorker("b", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 20}, {Name: "q", Weight: 1}})
	addAll(e, lowTasks("low", 20, 10)...)
	expect(t, "of low priority", countBy(e, name), map[string]int{"a": 8, "b": 8})
	addAll(e, stepOf("urgent", 4, 10, nil)...)
	expect(t, "urgent", countBy(e, name), map[string]int{"a": 2, "b": 2})
	expect(t, "waiting", e.Waiting(), 4)
}

// TestHeadroomEndsWithItsRule: a configuration without it lets what waits in.
func TestHeadroomEndsWithItsRule(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 50}})
	addAll(e, lowTasks("low", 10, 10)...)
	expect(t, "with headroom", countBy(e, name), map[string]int{"a": 5})
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1}})
	expect(t, "without", countBy(e, name), map[string]int{"a": 5})
}

// TestHeadroomHoldsBackNothingForEver: what cannot leave it on an empty worker runs
// all the same, and groups do.
func TestHeadroomHoldsBackNothingForEver(t *testing.T) {
	for what, tasks := range map[string][]Task{
		"a large task": lowTasks("low", 1, 90),
		"a group":      stepOf("low", 2, 50, func(task *Task) { task.Queue, task.Group, task.GroupSize = "low", "low/a", 2 }),
	} {
		e := newEngine(testWorker("a", cpu(100)))
		e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 50}})
		addAll(e, tasks...)
		expect(t, what, countBy(e, name), map[string]int{"a": len(tasks)})
	}
}

// TestRoomThatComesFreeWakesWorkWithHeadroom: it is placed once an end makes enough
// room, and not before.
func TestRoomThatComesFreeWakesWorkWithHeadroom(t *testing.T) {
	e := newEngine(testWorker("a", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "low", Weight: 1, Headroom: 20}})
	tasks := lowTasks("low", 9, 10)
	addAll(e, tasks...)
	expect(t, "at first", countBy(e, name), map[string]int{"a": 8})
	expect(t, "nothing came free", countBy(e, name), map[string]int{})
	e.Release(tasks[0].ID)
	expect(t, "after an end", countBy(e, name), map[string]int{"a": 1})
}
