package clusterclock

import (
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

const (
	// maxReadingAge is the age beyond which a voter's reading is ignored.
	maxReadingAge = 10 * time.Second
	// slewTime sets how fast the clock closes the gap to a median ahead of it: per
	// second of elapsed time, the gap divided by slewTime in seconds.
	slewTime = 10 * time.Second
	// minSlewDivisor makes the minimum forward slew a tenth of the elapsed time.
	minSlewDivisor = 10
	// slowDivisor makes the clock run at half speed while the median is behind.
	slowDivisor = 2
)

// reading is one voter's wall clock with the time at which it was observed.
type reading struct {
	wall       time.Duration // since the Unix epoch
	observedAt time.Duration // on the monotonic clock
}

// extrapolate returns the voter's wall clock at the monotonic time at, assuming that
// it advanced like the monotonic clock since the reading.
func (r reading) extrapolate(at time.Duration) time.Duration { return r.wall + (at - r.observedAt) }

// Clock computes cluster time. The zero value is ready for use. It is not safe
// for concurrent use: the replica's driver loop owns it. All monotonic times passed
// in must come from the same clock. Now treats a time earlier than that of the
// previous call of Now or Restart as equal to it.
type Clock struct {
	voters   []raft.ReplicaID
	readings map[raft.ReplicaID]reading
	// base is cluster time (since the Unix epoch) at the monotonic baseAt.
	base   time.Duration
	baseAt time.Duration
	// synchronized is true once Now has used a median since the last Restart.
	synchronized bool
}

// SetVoters sets the replicas whose readings count, and drops the readings of all
// others.
func (c *Clock) SetVoters(voters []raft.ReplicaID) {
	c.voters = slices.Clone(voters)
	for id := range c.readings {
		if !slices.Contains(c.voters, id) {
			delete(c.readings, id)
		}
	}
}

// Observe records a voter's wall clock, in Unix milliseconds, observed at the
// monotonic time at. It replaces the voter's previous reading. Readings of replicas
// that are not voters are ignored.
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
// log, in Unix milliseconds; 0 means that the log has no time. Readings are kept,
// since they do not depend on which replica leads.
func (c *Clock) Restart(floor record.Millis, at time.Duration) {
	c.base = time.Duration(floor) * time.Millisecond
	c.baseAt = at
	c.synchronized = false
}

// Now returns cluster time in Unix milliseconds at the monotonic time at. Between
// two calls of Restart it never decreases, and it is never below the floor.
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

// correct moves the extrapolated time towards the median. The result is never
// earlier than c.base.
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

// median returns the median of the readings not older than maxReadingAge; known is
// false if fewer than a majority of the voters have one. For an even number of
// readings it returns the middle one nearer to the extrapolated time, or the lower
// one if c.base is 0.
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
