package admission

import "time"

// RetrySchedule spreads the retries of rejected work over time, so that callers do not
// all retry at once and are rejected again. The zero value has no retries reserved.
type RetrySchedule struct {
	// nextAt is the earliest time at which the next retry may be scheduled.
	nextAt time.Duration
}

// Reserve returns how long a rejected caller should wait before it retries, and reserves
// that time. The wait is at least earliestDelay, after which the work is expected to be
// admitted, and lasts until the work of all retries reserved before is expected to have
// started. startDuration is how long the caller's own work takes to start. If the wait
// would reach maxWait, Reserve returns maxWait and reserves nothing.
func (s *RetrySchedule) Reserve(now, earliestDelay, startDuration, maxWait time.Duration) time.Duration {
	retryAt := max(now+earliestDelay, s.nextAt)
	if retryAt-now >= maxWait {
		return maxWait
	}
	s.nextAt = retryAt + startDuration
	return retryAt - now
}
