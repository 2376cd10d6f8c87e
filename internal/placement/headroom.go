package placement

import "github.com/decklever/decklever/api"

// Headroom: work of a queue that has it takes room that leaves its share of a
// worker free, wherever there is such room. Where there is none it waits if its
// service is crowded, and takes any room if not, as nothing urgent can be short of
// room then.

// crowdedFrom is the share of a service's room, in hundredths, from which it is
// crowded.
const crowdedFrom = 60

// crowding tells which services are crowded.
type crowding struct {
	// rooms are by service; that of "" is the room of all workers.
	rooms map[string]*serviceRoom
}

// serviceRoom is the room of all workers of a service, whether or not they take
// work, and what open runs take of it.
type serviceRoom struct {
	capacity, used api.Resources
}

func newCrowding() *crowding { return &crowding{rooms: map[string]*serviceRoom{}} }

// recount works all rooms out anew.
func (c *crowding) recount(workers map[string]*worker) {
	clear(c.rooms)
	for _, w := range workers {
		if !w.known {
			continue
		}
		c.add(w, w.Capacity, w.used)
	}
}

// take counts a run that a pass has placed on the worker.
func (c *crowding) take(w *worker, need api.Resources) { c.add(w, api.Resources{}, need) }

// add counts in every room that the worker belongs to.
func (c *crowding) add(w *worker, capacity, used api.Resources) {
	c.addTo("", capacity, used)
	for _, service := range w.Services {
		c.addTo(service, capacity, used)
	}
}

func (c *crowding) addTo(service string, capacity, used api.Resources) {
	room, ok := c.rooms[service]
	if !ok {
		room = &serviceRoom{}
		c.rooms[service] = room
	}
	room.capacity = room.capacity.Add(capacity)
	room.used = room.used.Add(used)
}

// crowded reports whether the service is short of processors and of memory.
func (c *crowding) crowded(service string) bool {
	room, ok := c.rooms[service]
	if !ok {
		return false
	}
	least := shareOfRoom(room.capacity, crowdedFrom)
	return exceeds(room.used.CPUMillis, least.CPUMillis) && exceeds(room.used.MemoryMB, least.MemoryMB)
}

// busy reports whether the service is short of processors, whatever its memory.
func (c *crowding) busy(service string) bool {
	room, ok := c.rooms[service]
	return ok && exceeds(room.used.CPUMillis, shareOfRoom(room.capacity, crowdedFrom).CPUMillis)
}

// exceeds holds for a room that no worker has as well.
func exceeds(used, least int64) bool { return used > least || least == 0 }

// waitsForHeadroom reports whether tasks of the class wait if no room leaves
// headroom. Those that run until cancelled never do.
func (c *class) waitsForHeadroom() bool {
	return c.key.headroom != 0 && !c.key.untilCancelled && c.isCrowded()
}

// withoutHeadroom has find look for room that need not leave headroom, if the class
// need not wait for such room.
func withoutHeadroom[T any](c *class, find func() T) T {
	if c.key.headroom == 0 || c.waitsForHeadroom() {
		var none T
		return none
	}
	c.anyRoom = true
	defer func() { c.anyRoom = false }()
	return find()
}

// leavesHeadroom reports whether the class leaves on a worker what its queue is to
// keep free for others. What could not leave it even on an empty worker is not held
// back: it would never run.
func (c *class) leavesHeadroom(w *worker) bool {
	if c.key.headroom == 0 || c.anyRoom {
		return true
	}
	wanted := c.key.need.Add(shareOfRoom(w.Capacity, c.key.headroom))
	return fits(wanted, w.free) || !fits(wanted, w.Capacity)
}

// headroomOf is what a task leaves free of a worker, in hundredths. Groups and
// tasks with a rule of spread need many places, and could wait for the same few
// workers for ever.
func headroomOf(task *Task, rule *QueueRule) int {
	if task.GroupSize > 1 || task.Spec.Spread != nil {
		return 0
	}
	return rule.Headroom
}

// countsCrowding reports whether anything depends on which services are crowded.
func (e *Engine) countsCrowding() bool {
	return e.anyHeadroom || e.anyYields || len(e.workers.guarded) > 0 || e.gathering != nil
}

// wakeHeldBack looks again at classes whose service was crowded when they were
// blocked, and no longer is.
func (e *Engine) wakeHeldBack() {
	for _, c := range e.classes {
		if c.heldBack && !c.isCrowded() {
			c.wakeLanes()
		}
	}
}

// shareOfRoom is a share of a room, in hundredths.
func shareOfRoom(room api.Resources, percent int) api.Resources {
	const whole = 100
	part := func(amount int64) int64 { return amount * int64(percent) / whole }
	return api.Resources{CPUMillis: part(room.CPUMillis), MemoryMB: part(room.MemoryMB), Accelerators: part(room.Accelerators)}
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
