package admission

import "time"

// clearFraction is the part of the bound below which a closed gate opens.
const clearFraction = 0.8

// WaitThreshold tells with hysteresis whether a wait is too long. The zero value is open,
// and closes with the first wait that is.
type WaitThreshold struct {
	// MinDuration is how long a wait must be too long without a break before the gate
	// closes, so that one large job or a short pause of the fleet does not close it.
	MinDuration time.Duration
	exceeded    bool
	// above is set while the wait has been too long since aboveSince.
	above      bool
	aboveSince time.Duration
}

// Exceeded reports whether the gate is closed.
func (g *WaitThreshold) Exceeded() bool { return g.exceeded }

// Observe takes an expected wait in; known is false while there is none.
func (g *WaitThreshold) Observe(now, wait, limit time.Duration, known bool) {
	switch {
	case !known, wait < ClearBelow(limit):
		*g = WaitThreshold{MinDuration: g.MinDuration}
	case wait <= limit:
		// In between, an open gate stays open and a closed one closed.
		g.above = false
	case !g.above:
		g.above, g.aboveSince = true, now
	}
	if g.above && now-g.aboveSince >= g.MinDuration {
		g.exceeded = true
	}
}

// ClearBelow is the wait below which a closed gate opens.
func ClearBelow(limit time.Duration) time.Duration {
	return time.Duration(clearFraction * float64(limit))
}
