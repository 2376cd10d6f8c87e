package monoclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Nanos is a reading of CLOCK_MONOTONIC in nanoseconds since boot.
type Nanos int64

// Now returns the current reading. It panics if the clock cannot be read.
func Now() Nanos {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading); err != nil {
		panic(fmt.Sprintf("monoclock: CLOCK_MONOTONIC cannot be read: %v", err))
	}
	return Nanos(reading.Nano())
}

// Sub returns the time elapsed from other to n.
func (n Nanos) Sub(other Nanos) time.Duration { return time.Duration(n - other) }

// Add returns the reading d after n.
func (n Nanos) Add(d time.Duration) Nanos { return n + Nanos(d) }

// Anchor pairs a reading with the wall-clock time at the same moment on this machine.
type Anchor struct {
	Mono Nanos     `json:"mono_ns"`
	Wall time.Time `json:"wall"`
}

// NewAnchor reads the monotonic clock and the wall clock.
func NewAnchor() Anchor { return Anchor{Mono: Now(), Wall: time.Now().Round(0)} }

// At converts a wall-clock time to a reading. The result is right only if the wall clock
// was not adjusted between the anchor and that time.
func (a Anchor) At(wall time.Time) Nanos { return a.Mono.Add(wall.Sub(a.Wall)) }
