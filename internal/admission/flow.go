package admission

import "time"

const (
	// slotLength and slotCount make the window over which starts are counted.
	slotLength = 500 * time.Millisecond
	slotCount  = 10
	// leastStretch is how long work must have waited without a break before the
	// rate of starts says something: what came first filled the room that was free.
	leastStretch = slotLength
)

// Flow follows how fast the waiting tasks of a queue begin to run. Only stretches
// without a break in which some task waits count: else a slow arrival of tasks
// would look like a slow fleet.
type Flow struct {
	waiting int
	// since is when the stretch began.
	since time.Duration
	// slots hold the starts of the newest slots of time, at newest%slotCount.
	slots  [slotCount]int
	newest int64
}

// Wait counts tasks that begin to wait, or no longer do if negative.
func (f *Flow) Wait(now time.Duration, change int) {
	if f.waiting == 0 && change > 0 {
		f.since = now
		f.slots = [slotCount]int{}
		f.newest = int64(now / slotLength)
	}
	f.waiting += change
}

// Start counts a waiting task that was given a place.
func (f *Flow) Start(now time.Duration) {
	f.move(now)
	f.slots[f.newest%slotCount]++
}

// Waiting is the number of tasks that wait.
func (f *Flow) Waiting() int { return f.waiting }

// move forgets the slots that are too old.
func (f *Flow) move(now time.Duration) {
	for at := int64(now / slotLength); f.newest < at; {
		f.newest = max(f.newest+1, at-slotCount+1)
		f.slots[f.newest%slotCount] = 0
	}
}

// PerSecond is the rate of starts; false while it is not known.
func (f *Flow) PerSecond(now time.Duration) (float64, bool) {
	if f.waiting == 0 || now-f.since < leastStretch {
		return 0, false
	}
	f.move(now)
	starts := 0
	for _, count := range f.slots {
		starts += count
	}
	oldest := time.Duration(f.newest-slotCount+1) * slotLength
	counted := now - max(f.since, oldest)
	return float64(starts) / counted.Seconds(), starts > 0
}

// ExpectedWait is how long a task that comes now will wait for its start, if those
// that wait go first and the rate stays (Little's law); false if it is not known.
func (f *Flow) ExpectedWait(now time.Duration) (time.Duration, bool) {
	rate, known := f.PerSecond(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(f.waiting) / rate * float64(time.Second)), true
}

// TimeFor is how long until a number of tasks has begun to run; false if it is not
// known.
func (f *Flow) TimeFor(now time.Duration, tasks int) (time.Duration, bool) {
	rate, known := f.PerSecond(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(max(tasks, 0)) / rate * float64(time.Second)), true
}
