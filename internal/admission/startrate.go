package admission

import "time"

const (
	// bucketLength and bucketCount define the sliding window in which starts are counted.
	bucketLength = 500 * time.Millisecond
	bucketCount  = 10
	// minObservation is how long a backlog must have lasted before its rate is known.
	// The first starts of a backlog only fill capacity that was free before.
	minObservation = bucketLength
)

// StartRate measures how fast the waiting tasks of one queue start. It measures only
// during a backlog, which is a period in which at least one task waits at any time:
// otherwise slow arrivals would look like a lack of capacity. The zero value has no
// backlog.
type StartRate struct {
	// waiting is the number of waiting tasks.
	waiting int
	// backloggedSince is when the current backlog began.
	backloggedSince time.Duration
	// buckets counts starts by time. Bucket number n covers the time from n*bucketLength
	// on, and is at index n%bucketCount.
	buckets [bucketCount]int
	// newestBucket is the number of the newest bucket in the window.
	newestBucket int64
}

// AddWaiting adds change, which may be negative, to the number of waiting tasks. When the
// first task begins to wait, a new backlog and its measurement begin.
func (r *StartRate) AddWaiting(now time.Duration, change int) {
	if r.waiting == 0 && change > 0 {
		r.backloggedSince = now
		r.buckets = [bucketCount]int{}
		r.newestBucket = int64(now / bucketLength)
	}
	r.waiting += change
}

// RecordStart counts the start of a waiting task. It does not change the number of
// waiting tasks; the caller does that with AddWaiting.
func (r *StartRate) RecordStart(now time.Duration) {
	r.advance(now)
	r.buckets[r.newestBucket%bucketCount]++
}

// Waiting returns the number of waiting tasks.
func (r *StartRate) Waiting() int { return r.waiting }

// advance moves the window forward to now and clears the buckets that it enters.
func (r *StartRate) advance(now time.Duration) {
	for current := int64(now / bucketLength); r.newestBucket < current; {
		r.newestBucket = max(r.newestBucket+1, current-bucketCount+1)
		r.buckets[r.newestBucket%bucketCount] = 0
	}
}

// PerSecond returns the starts per second during the current backlog, as far as the
// window covers it. It returns false if there is no backlog, if the backlog is younger
// than minObservation, or if no task started within the window.
func (r *StartRate) PerSecond(now time.Duration) (rate float64, known bool) {
	if r.waiting == 0 || now-r.backloggedSince < minObservation {
		return 0, false
	}
	r.advance(now)
	starts := 0
	for _, count := range r.buckets {
		starts += count
	}
	windowStart := time.Duration(r.newestBucket-bucketCount+1) * bucketLength
	observed := now - max(r.backloggedSince, windowStart)
	return float64(starts) / observed.Seconds(), starts > 0
}

// ExpectedWait returns how long a task that arrives now will wait for its start, provided
// that the whole backlog starts before it and the rate stays the same (Little's law). It
// returns false while the rate is not known; see PerSecond.
func (r *StartRate) ExpectedWait(now time.Duration) (wait time.Duration, known bool) {
	rate, known := r.PerSecond(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(r.waiting) / rate * float64(time.Second)), true
}

// TimeToStart returns how long it takes at the current rate to start a number of tasks.
// It returns false while the rate is not known; see PerSecond.
func (r *StartRate) TimeToStart(now time.Duration, tasks int) (duration time.Duration, known bool) {
	rate, known := r.PerSecond(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(max(tasks, 0)) / rate * float64(time.Second)), true
}
