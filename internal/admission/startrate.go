package admission

import "time"

const (
	// bucketLength and bucketCount make up the sliding window in which starts are
	// counted.
	bucketLength = 500 * time.Millisecond
	bucketCount  = 10
	// minObservation is how long tasks must have waited without a break before the rate
	// is known: the first starts of a backlog only fill the capacity that was free.
	minObservation = bucketLength
)

// StartRate measures how fast the waiting tasks of one queue start. It counts only
// while some task waits without a break, the backlog: otherwise slow arrivals would
// look like a lack of capacity. The zero value has no backlog.
type StartRate struct {
	waiting int
	// backloggedSince is when the backlog began.
	backloggedSince time.Duration
	// buckets count starts by time; the bucket of bucket number n is at n%bucketCount.
	buckets [bucketCount]int
	// newest is the number of the newest bucket: its time over bucketLength.
	newest int64
}

// AddWaiting adds to the number of tasks that wait, or takes from it if change is
// negative. A backlog that begins starts a new measurement.
func (r *StartRate) AddWaiting(now time.Duration, change int) {
	if r.waiting == 0 && change > 0 {
		r.backloggedSince = now
		r.buckets = [bucketCount]int{}
		r.newest = int64(now / bucketLength)
	}
	r.waiting += change
}

// RecordStart counts the start of a waiting task. The caller also takes it from the
// waiting ones.
func (r *StartRate) RecordStart(now time.Duration) {
	r.advance(now)
	r.buckets[r.newest%bucketCount]++
}

// Waiting returns the number of tasks that wait.
func (r *StartRate) Waiting() int { return r.waiting }

// advance moves the window up to now and clears the buckets that it enters.
func (r *StartRate) advance(now time.Duration) {
	for current := int64(now / bucketLength); r.newest < current; {
		r.newest = max(r.newest+1, current-bucketCount+1)
		r.buckets[r.newest%bucketCount] = 0
	}
}

// PerSecond returns the starts per second; false while the rate is not known.
func (r *StartRate) PerSecond(now time.Duration) (rate float64, known bool) {
	if r.waiting == 0 || now-r.backloggedSince < minObservation {
		return 0, false
	}
	r.advance(now)
	starts := 0
	for _, count := range r.buckets {
		starts += count
	}
	windowStart := time.Duration(r.newest-bucketCount+1) * bucketLength
	observed := now - max(r.backloggedSince, windowStart)
	return float64(starts) / observed.Seconds(), starts > 0
}

// ExpectedWait returns how long a task that arrives now will wait for its start if the
// backlog goes first and the rate stays (Little's law); false while it is not known.
func (r *StartRate) ExpectedWait(now time.Duration) (wait time.Duration, known bool) {
	rate, known := r.PerSecond(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(r.waiting) / rate * float64(time.Second)), true
}

// TimeToStart returns how long it takes until a number of tasks has started; false
// while it is not known.
func (r *StartRate) TimeToStart(now time.Duration, tasks int) (length time.Duration, known bool) {
	rate, known := r.PerSecond(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(max(tasks, 0)) / rate * float64(time.Second)), true
}
