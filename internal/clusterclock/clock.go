package clusterclock

import (
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

const (
	// maxReadingAge is how long a voter's reading counts.
	maxReadingAge = 10 * time.Second
	// slewTime is how fast the clock closes a gap to a median ahead of it: the
	// gap shrinks by its own size over this time.
	slewTime = 10 * time.Second
	// minSlewDivisor makes the least forward slew a tenth of the passing time.
	minSlewDivisor = 10
	// slowDivisor makes the clock run at half speed while the median is behind.
	slowDivisor = 2
)

// reading is one voter's wall clock and when it was observed.
type reading struct {
	wall       time.Duration // since the Unix epoch
	observedAt time.Duration // monotonic
}

// extrapolate carries the reading forward on the monotonic clock.
func (r reading) extrapolate(at time.Duration) time.Duration { return r.wall + (at - r.observedAt) }

// Clock computes cluster time. The zero value is ready for use. It is not safe
// for concurrent use: the replica's driver loop owns it. Every monotonic time
// passed in is on the same clock; one earlier than the latest counts as that.
type Clock struct {
	voters   []raft.ReplicaID
	readings map[raft.ReplicaID]reading
	// base is cluster time (since the Unix epoch) at the monotonic baseAt.
	base   time.Duration
	baseAt time.Duration
	// synchronized is true once a median was used since the last Restart.
	synchronized bool
}

// SetVoters says whose readings count; those of others are dropped.
func (c *Clock) SetVoters(voters []raft.ReplicaID) {
	c.voters = slices.Clone(voters)
	for id := range c.readings {
		if !slices.Contains(c.voters, id) {
			delete(c.readings, id)
		}
	}
}

// Observe records a voter's wall clock, in Unix milliseconds, observed at the
// monotonic time at. It replaces the voter's reading before. Other replicas are
// ignored.
func (c *Clock) Observe(voter raft.ReplicaID, wall int64, at time.Duration) {
	if !slices.Contains(c.voters, voter) {
		return
	}
	if c.readings == nil {
		c.readings = make(map[raft.ReplicaID]reading)
	}
	c.readings[voter] = reading{wall: time.Duration(wall) * time.Millisecond, observedAt: at}
}

// Restart begins a term: the clock continues from floor, the latest time in the
// log, in Unix milliseconds; 0 means that none is known. Readings stay, since they
// do not depend on who leads.
func (c *Clock) Restart(floor record.Millis, at time.Duration) {
	c.base = time.Duration(floor) * time.Millisecond
	c.baseAt = at
	c.synchronized = false
}

// Now returns cluster time in Unix milliseconds. It never goes back between two
// calls of Restart, and never behind the floor.
func (c *Clock) Now(at time.Duration) record.Millis {
	at = max(at, c.baseAt)
	elapsed := at - c.baseAt
	extrapolated := c.base + elapsed
	median, known := c.median(at, extrapolated)
	if known {
		extrapolated = c.correct(extrapolated, median, elapsed)
		c.synchronized = true
	}
	c.base, c.baseAt = extrapolated, at
	return record.Millis(extrapolated / time.Millisecond)
}

// correct moves the extrapolated time towards the median, never behind c.base.
func (c *Clock) correct(extrapolated, median, elapsed time.Duration) time.Duration {
	gap := median - extrapolated
	switch {
	case !c.synchronized && (gap > 0 || c.base == 0):
		return max(median, c.base)
	case gap > 0:
		slew := max(elapsed/minSlewDivisor, time.Duration(float64(gap)*elapsed.Seconds()/slewTime.Seconds()))
		return extrapolated + min(gap, slew)
	default:
		return extrapolated - min(-gap, elapsed/slowDivisor)
	}
}

// median returns the median of the recent readings; known is false without those
// of a majority of voters. Of the two middle ones of an even number, the one
// nearer to the extrapolated time counts, the lower one if there is no such time.
func (c *Clock) median(at, extrapolated time.Duration) (median time.Duration, known bool) {
	walls := make([]time.Duration, 0, len(c.readings))
	for _, r := range c.readings {
		if at-r.observedAt <= maxReadingAge {
			walls = append(walls, r.extrapolate(at))
		}
	}
	if len(walls) == 0 || len(walls) <= len(c.voters)/2 {
		return 0, false
	}
	slices.Sort(walls)
	lower := walls[(len(walls)-1)/2]
	upper := walls[len(walls)/2]
	if c.base != 0 && (upper-extrapolated).Abs() < (lower-extrapolated).Abs() {
		return upper, true
	}
	return lower, true
}
