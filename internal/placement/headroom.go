package placement

import (
	"github.com/decklever/decklever/internal/placement/resources"
)

// Headroom: tasks of a queue that has it are placed where they leave its share of the
// worker free, wherever there is such a worker. Where there is none, they wait if their
// service is highly utilized, and take any free capacity if not: nothing urgent can be
// short of capacity then.

// waitsForHeadroom reports whether tasks of the class wait if no room leaves
// headroom. Those that run until cancelled never do.
func (c *equivalenceClass) waitsForHeadroom() bool {
	return c.key.headroom != 0 && !c.key.untilCancelled && c.isHighlyUtilized()
}

// ignoringHeadroom has find look for room that need not leave headroom, if the class
// need not wait for such room.
func ignoringHeadroom[T any](c *equivalenceClass, find func() T) T {
	if c.key.headroom == 0 || c.waitsForHeadroom() {
		var none T
		return none
	}
	c.ignoresHeadroom = true
	defer func() { c.ignoresHeadroom = false }()
	return find()
}

// leavesHeadroom reports whether the class leaves on a worker what its queue is to
// keep free for others. What could not leave it even on an empty worker is not held
// back: it would never run.
func (c *equivalenceClass) leavesHeadroom(w *worker) bool {
	if c.key.headroom == 0 || c.ignoresHeadroom {
		return true
	}
	wanted := c.key.need.Add(resources.Percent(w.Capacity, c.key.headroom))
	return fits(wanted, w.free) || !fits(wanted, w.Capacity)
}

// headroomPercentOf is what a task leaves free of a worker, in hundredths. Groups and
// tasks with a rule of spread need many places, and could wait for the same few
// workers for ever.
func headroomPercentOf(task *Task, rule *QueueRule) int {
	if task.GangSize > 1 || task.Spec.Spread != nil {
		return 0
	}
	return rule.Headroom
}

// needsUtilization reports whether anything depends on which services are crowded.
func (e *Engine) needsUtilization() bool {
	return e.queues.anyHeadroom || e.queues.anyDeferences || len(e.workers.restricted) > 0 || e.gangDrains.current != nil
}

// recountUtilization counts the capacity and the usage of all workers anew.
func (e *Engine) recountUtilization() {
	e.utilization.Reset()
	for _, w := range e.workers.byID {
		if w.known {
			e.utilization.AddWorker(w.Services, w.Capacity, w.used)
		}
	}
}
