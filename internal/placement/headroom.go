package placement

import "github.com/decklever/decklever/api"

// leavesHeadroom reports whether the class leaves on a worker what its queue is to
// keep free for others. What could not leave it even on an empty worker is not held
// back: it would never run.
func (c *class) leavesHeadroom(w *worker) bool {
	if c.key.headroom == 0 {
		return true
	}
	wanted := c.key.need.Add(shareOfRoom(w.Capacity, c.key.headroom))
	return fits(wanted, w.free) || !fits(wanted, w.Capacity)
}

// shareOfRoom is a share of a room, in hundredths.
func shareOfRoom(room api.Resources, percent int) api.Resources {
	const whole = 100
	part := func(amount int64) int64 { return amount / whole * int64(percent) }
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
