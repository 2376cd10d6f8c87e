package placement

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// Headroom: work of a queue that has it takes room that leaves its share of a
// worker free, wherever there is such room. Where there is none it waits if its
// service is crowded, and takes any room if not, as nothing urgent can be short of
// room then.

// highUtilizationPercent is the share of a service's room, in hundredths, from which it is
// crowded.
const highUtilizationPercent = 60

// utilization tells which services are crowded.
type utilization struct {
	// services are by service; that of "" is the room of all workers.
	services map[string]*serviceUsage
}

// serviceUsage is the room of all workers of a service, whether or not they take
// work, and what open runs take of it.
type serviceUsage struct {
	capacity, used api.Resources
}

func newUtilization() *utilization { return &utilization{services: map[string]*serviceUsage{}} }

// recount works all rooms out anew.
func (c *utilization) recount(workers map[string]*worker) {
	clear(c.services)
	for _, w := range workers {
		if !w.known {
			continue
		}
		c.add(w, w.Capacity, w.used)
	}
}

// take counts a run that a pass has placed on the worker.
func (c *utilization) addRun(w *worker, need api.Resources) { c.add(w, api.Resources{}, need) }

// add counts in every room that the worker belongs to.
func (c *utilization) add(w *worker, capacity, used api.Resources) {
	c.addTo("", capacity, used)
	for _, service := range w.Services {
		c.addTo(service, capacity, used)
	}
}

func (c *utilization) addTo(service string, capacity, used api.Resources) {
	room, ok := c.services[service]
	if !ok {
		room = &serviceUsage{}
		c.services[service] = room
	}
	room.capacity = room.capacity.Add(capacity)
	room.used = room.used.Add(used)
}

// crowded reports whether the service is short of processors and of memory.
func (c *utilization) isHigh(service string) bool {
	room, ok := c.services[service]
	if !ok {
		return false
	}
	least := resources.Percent(room.capacity, highUtilizationPercent)
	return exceeds(room.used.CPUMillis, least.CPUMillis) && exceeds(room.used.MemoryMB, least.MemoryMB)
}

// isProcessorBound reports whether the service is short of processors, whatever its memory.
func (c *utilization) isProcessorBound(service string) bool {
	room, ok := c.services[service]
	return ok && exceeds(room.used.CPUMillis, resources.Percent(room.capacity, highUtilizationPercent).CPUMillis)
}

// exceeds holds for a room that no worker has as well.
func exceeds(used, least int64) bool { return used > least || least == 0 }

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
	return e.anyHeadroom || e.anyDeferences || len(e.workers.restricted) > 0 || e.gangDrain != nil
}

// activateDeferredByUtilization looks again at classes whose service was crowded when they were
// blocked, and no longer is.
func (e *Engine) activateDeferredByUtilization() {
	for _, c := range e.classes {
		if c.blockedByUtilization && !c.isHighlyUtilized() {
			c.activateSubQueues()
		}
	}
}

// headrooms are those of the queues that have one.
func (e *Engine) headrooms() map[string]int {
	headrooms := map[string]int{}
	for name, q := range e.queues {
		if q.rule.Headroom != 0 {
			headrooms[name] = q.rule.Headroom
		}
	}
	return headrooms
}
