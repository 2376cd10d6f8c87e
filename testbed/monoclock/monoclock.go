package monoclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Nanos is a reading of CLOCK_MONOTONIC in nanoseconds since boot.
type Nanos int64

// Now returns the present reading.
func Now() Nanos {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading); err != nil {
		panic(fmt.Sprintf("monoclock: CLOCK_MONOTONIC cannot be read: %v", err))
	}
	return Nanos(reading.Nano())
}

// Sub returns the time from other to n.
func (n Nanos) Sub(other Nanos) time.Duration { return time.Duration(n - other) }

// Add returns the reading that lies d after n.
func (n Nanos) Add(d time.Duration) Nanos { return n + Nanos(d) }

// Anchor ties a reading to the wall clock of this machine.
type Anchor struct {
	Mono Nanos     `json:"mono_ns"`
	Wall time.Time `json:"wall"`
}

// NewAnchor reads both clocks.
func NewAnchor() Anchor { return Anchor{Mono: Now(), Wall: time.Now().Round(0)} }

// At maps a wall time to a reading, as if the wall clock had not been set
// since the anchor was taken.
func (a Anchor) At(wall time.Time) Nanos { return a.Mono.Add(wall.Sub(a.Wall)) }
