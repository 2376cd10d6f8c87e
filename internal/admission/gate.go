package admission

import "time"

// reopenBelow is the part of the bound below which a closed gate opens.
const reopenBelow = 0.8

// Gate tells with hysteresis whether a wait is too long. The zero value is open,
// and closes with the first wait that is.
type Gate struct {
	// After is how long a wait must be too long without a break before the gate
	// closes, so that one large job or a short pause of the fleet does not close it.
	After  time.Duration
	closed bool
	// tooLong is set while the wait has been too long since tooLongSince.
	tooLong      bool
	tooLongSince time.Duration
}

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool { return g.closed }

// Look takes an expected wait in; known is false while there is none.
func (g *Gate) Look(now, wait, bound time.Duration, known bool) {
	switch {
	case !known, wait < Reopen(bound):
		*g = Gate{After: g.After}
	case wait <= bound:
		// In between, an open gate stays open and a closed one closed.
		g.tooLong = false
	case !g.tooLong:
		g.tooLong, g.tooLongSince = true, now
	}
	if g.tooLong && now-g.tooLongSince >= g.After {
		g.closed = true
	}
}

// Reopen is the wait below which a closed gate opens.
func Reopen(bound time.Duration) time.Duration { return time.Duration(reopenBelow * float64(bound)) }
