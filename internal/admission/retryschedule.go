package admission

import "time"

// RetrySchedule spreads the retries of rejected work, so that it does not come back all
// at once to be rejected again. The zero value has no retries reserved.
type RetrySchedule struct {
	// nextAt is the earliest time of the next retry.
	nextAt time.Duration
}

// Reserve returns after how long a rejected caller should retry: not before earliest,
// when its work would be admitted, and not before the work of the retries reserved
// earlier has started. length is how long its own work takes to start. Where the
// result would be over maxWait, it is maxWait and nothing is reserved.
func (s *RetrySchedule) Reserve(now, earliest, length, maxWait time.Duration) time.Duration {
	retryAt := max(now+earliest, s.nextAt)
	if retryAt-now >= maxWait {
		return maxWait
	}
	s.nextAt = retryAt + length
	return retryAt - now
}
