package admission

import "time"

// clearFraction is the fraction of the limit below which an exceeded threshold clears.
const clearFraction = 0.8

// WaitThreshold decides with hysteresis whether an expected wait exceeds a limit. The
// zero value is not exceeded, and becomes so at the first wait above the limit.
type WaitThreshold struct {
	// MinDuration is how long the wait must stay above the limit before the threshold
	// is exceeded, so that one large job or a short pause of the workers has no effect.
	// Default 0.
	MinDuration time.Duration
	exceeded    bool
	// above is true if the last observed wait was above the limit. Since aboveSince all
	// observed waits were.
	above      bool
	aboveSince time.Duration
}

// Exceeded reports whether the threshold is exceeded.
func (t *WaitThreshold) Exceeded() bool { return t.exceeded }

// Observe updates the threshold with an expected wait and its limit. If known is false,
// the wait is not known, and the threshold clears.
func (t *WaitThreshold) Observe(now, wait, limit time.Duration, known bool) {
	switch {
	case !known, wait < ClearBelow(limit):
		*t = WaitThreshold{MinDuration: t.MinDuration}
	case wait <= limit:
		// Between ClearBelow(limit) and limit, the threshold stays exceeded or not, but
		// the time above the limit is measured anew.
		t.above = false
	case !t.above:
		t.above, t.aboveSince = true, now
	}
	if t.above && now-t.aboveSince >= t.MinDuration {
		t.exceeded = true
	}
}

// ClearBelow returns the wait below which a threshold that was exceeded at a limit clears.
func ClearBelow(limit time.Duration) time.Duration {
	return time.Duration(clearFraction * float64(limit))
}
