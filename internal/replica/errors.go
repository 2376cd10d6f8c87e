package replica

import (
	"errors"

	"github.com/decklever/decklever/internal/rpc"
)

// Errors of a Replica.
var (
	// ErrNotLeader reports that the proposal was not accepted; it had no effect.
	ErrNotLeader = errors.New("replica: not the leader")
	// ErrOutcomeUnknown reports that the proposal may yet be committed.
	ErrOutcomeUnknown = errors.New("replica: outcome unknown")
	// ErrOverloaded reports that too many proposals are queued; it had no effect.
	ErrOverloaded = errors.New("replica: too many proposals wait")
	// ErrStopped reports that the replica is shutting down.
	ErrStopped = errors.New("replica: stopped")
)

// ConfigError reports a required field of Config that is missing.
type ConfigError struct {
	// Field is its name in Go.
	Field string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return "replica: Config." + e.Field + " is required"
}

// errSnapshotStale reports that the log has passed a received snapshot meanwhile.
var errSnapshotStale = errors.New("replica: snapshot is not needed any more")

// errNotRunning rejects calls that need the node before it runs.
var errNotRunning = &rpc.Error{Code: rpc.CodeUnavailable, Message: "replica has not joined a cluster yet"}
