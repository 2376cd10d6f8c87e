package daemon

import (
	"log/slog"
	"math"

	"golang.org/x/sys/unix"
)

const (
	// defaultMaxConnections bounds the connections if Config.MaxConnections is not set.
	defaultMaxConnections = 4096
	// descriptorReserve is the number of file descriptors reserved for files, listeners and
	// connections that do not belong to a request.
	descriptorReserve = 256
)

// openFileLimit returns the process's soft limit on open file descriptors, or
// math.MaxUint64 if it cannot be read.
func openFileLimit() uint64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// boundConnections returns the configuration with MaxConnections set to its default if it
// is not set, and lowered so that the process does not run out of file descriptors. It logs
// a warning if it lowers a configured value.
func (c Config) boundConnections(descriptors uint64) Config {
	requested := c.MaxConnections
	if requested <= 0 {
		requested = defaultMaxConnections
	}
	capacity := connectionCapacity(descriptors, c.DescriptorsPerConnection)
	if capacity >= uint64(requested) {
		c.MaxConnections = requested
		return c
	}
	if c.MaxConnections > 0 {
		c.Logger.Warn("fewer connections than asked for, as descriptors are few",
			slog.Int("asked", requested), slog.Uint64("limit", capacity), slog.Uint64("descriptors", descriptors))
	}
	c.MaxConnections = int(capacity)
	return c
}

// connectionCapacity returns the number of connections that the descriptors allow beside
// the reserve, at least 1. With few descriptors the reserve is half of them.
func connectionCapacity(descriptors uint64, perConnection int) uint64 {
	reserve := min(uint64(descriptorReserve), descriptors/2)
	return max((descriptors-reserve)/uint64(perConnection), 1)
}
