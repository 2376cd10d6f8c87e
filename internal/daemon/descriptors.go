package daemon

import (
	"log/slog"
	"math"

	"golang.org/x/sys/unix"
)

const (
	// mostConnections bounds the connections where no bound is asked for.
	mostConnections = 4096
	// descriptorReserve is how many descriptors stay free for files, listeners
	// and connections that no request waits for.
	descriptorReserve = 256
)

// openFileLimit is how many descriptors the process may have open.
func openFileLimit() uint64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// boundConnections settles MaxConnections, so that the process does not run out
// of descriptors.
func (c Config) boundConnections(descriptors uint64) Config {
	asked := c.MaxConnections
	if asked <= 0 {
		asked = mostConnections
	}
	room := roomForConnections(descriptors, c.DescriptorsPerConnection)
	if room >= uint64(asked) {
		c.MaxConnections = asked
		return c
	}
	if c.MaxConnections > 0 {
		c.Logger.Warn("fewer connections than asked for, as descriptors are few",
			slog.Int("asked", asked), slog.Uint64("limit", room), slog.Uint64("descriptors", descriptors))
	}
	c.MaxConnections = int(room)
	return c
}

// roomForConnections is how many connections fit in the descriptors beside the
// reserve; with few descriptors the reserve is half of them.
func roomForConnections(descriptors uint64, perConnection int) uint64 {
	reserve := min(uint64(descriptorReserve), descriptors/2)
	return max((descriptors-reserve)/uint64(perConnection), 1)
}
