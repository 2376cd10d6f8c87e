package admission

import "time"

// clearFraction is the part of the limit below which an exceeded threshold clears.
const clearFraction = 0.8

// WaitThreshold tells with hysteresis whether an expected wait exceeds a limit. The
// zero value is not exceeded, and reacts to the first wait above the limit.
type WaitThreshold struct {
	// MinDuration is how long the wait must be above the limit without a break before
	// the threshold counts as exceeded, so that one large job or a short pause of the
	// workers has no effect. Default 0.
	MinDuration time.Duration
	exceeded    bool
	// above is true while the wait has been above the limit, since aboveSince.
	above      bool
	aboveSince time.Duration
}

// Exceeded reports whether the threshold is exceeded.
func (t *WaitThreshold) Exceeded() bool { return t.exceeded }

// Observe takes in an expected wait and the limit on it. known is false while there is
// no expectation, which clears the threshold.
func (t *WaitThreshold) Observe(now, wait, limit time.Duration, known bool) {
	switch {
	case !known, wait < ClearBelow(limit):
		*t = WaitThreshold{MinDuration: t.MinDuration}
	case wait <= limit:
		// Between both bounds nothing changes, but time above the limit starts anew.
		t.above = false
	case !t.above:
		t.above, t.aboveSince = true, now
	}
	if t.above && now-t.aboveSince >= t.MinDuration {
		t.exceeded = true
	}
}

// ClearBelow returns the wait below which an exceeded threshold of a limit clears.
func ClearBelow(limit time.Duration) time.Duration {
	return time.Duration(clearFraction * float64(limit))
}
