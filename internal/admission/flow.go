package admission

import "time"

const (
	// bucketLength and bucketCount make the window over which starts are counted.
	bucketLength = 500 * time.Millisecond
	bucketCount  = 10
	// minObservation is how long work must have waited without a break before the
	// rate of starts says something: what came first filled the room that was free.
	minObservation = bucketLength
)

// StartRate follows how fast the waiting tasks of a queue begin to run. Only stretches
// without a break in which some task waits count: else a slow arrival of tasks
// would look like a slow fleet.
type StartRate struct {
	waiting int
	// backloggedSince is when the stretch began.
	backloggedSince time.Duration
	// buckets hold the starts of the newest slots of time, at newest%bucketCount.
	buckets [bucketCount]int
	newest  int64
}

// AddWaiting counts tasks that begin to wait, or no longer do if negative.
func (f *StartRate) AddWaiting(now time.Duration, change int) {
	if f.waiting == 0 && change > 0 {
		f.backloggedSince = now
		f.buckets = [bucketCount]int{}
		f.newest = int64(now / bucketLength)
	}
	f.waiting += change
}

// RecordStart counts a waiting task that was given a place.
func (f *StartRate) RecordStart(now time.Duration) {
	f.advance(now)
	f.buckets[f.newest%bucketCount]++
}

// Waiting is the number of tasks that wait.
func (f *StartRate) Waiting() int { return f.waiting }

// advance forgets the slots that are too old.
func (f *StartRate) advance(now time.Duration) {
	for at := int64(now / bucketLength); f.newest < at; {
		f.newest = max(f.newest+1, at-bucketCount+1)
		f.buckets[f.newest%bucketCount] = 0
	}
}

// PerSecond is the rate of starts; false while it is not known.
func (f *StartRate) PerSecond(now time.Duration) (float64, bool) {
	if f.waiting == 0 || now-f.backloggedSince < minObservation {
		return 0, false
	}
	f.advance(now)
	starts := 0
	for _, count := range f.buckets {
		starts += count
	}
	oldest := time.Duration(f.newest-bucketCount+1) * bucketLength
	counted := now - max(f.backloggedSince, oldest)
	return float64(starts) / counted.Seconds(), starts > 0
}

// ExpectedWait is how long a task that comes now will wait for its start, if those
// that wait go first and the rate stays (Little's law); false if it is not known.
func (f *StartRate) ExpectedWait(now time.Duration) (time.Duration, bool) {
	rate, known := f.PerSecond(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(f.waiting) / rate * float64(time.Second)), true
}

// TimeToStart is how long until a number of tasks has begun to run; false if it is not
// known.
func (f *StartRate) TimeToStart(now time.Duration, tasks int) (time.Duration, bool) {
	rate, known := f.PerSecond(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(max(tasks, 0)) / rate * float64(time.Second)), true
}
