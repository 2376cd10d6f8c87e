package admission

import "time"

// RetrySchedule spreads the times at which those who were refused are told to come back,
// so that they do not come all at once to be refused again. The zero value has
// promised nothing.
type RetrySchedule struct {
	// nextAt is when the next one is told to come.
	nextAt time.Duration
}

// Reserve returns after what time one is to come back whose work will find a place
// after earliest, and keeps the next from coming for as long as that work takes to
// begin. Beyond most, all are told most.
func (r *RetrySchedule) Reserve(now, earliest, length, maxWait time.Duration) time.Duration {
	at := max(now+earliest, r.nextAt)
	if at-now >= maxWait {
		return maxWait
	}
	r.nextAt = at + length
	return at - now
}
