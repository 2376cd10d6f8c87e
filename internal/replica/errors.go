package replica

import (
	"errors"

	"github.com/decklever/decklever/internal/rpc"
)

// Errors of a Replica.
var (
	// ErrNotLeader reports that the proposal was not accepted and had no effect.
	// Replica.ReadBarrier returns it if no leader could be reached.
	ErrNotLeader = errors.New("replica: not the leader")
	// ErrOutcomeUnknown reports that the proposal may still be committed.
	ErrOutcomeUnknown = errors.New("replica: outcome unknown")
	// ErrOverloaded reports that too many proposals are queued; the rejected proposal
	// had no effect.
	ErrOverloaded = errors.New("replica: too many proposals queued")
	// ErrStopped reports that the replica is shutting down.
	ErrStopped = errors.New("replica: stopped")
)

// ConfigError reports a required field of Config that is missing.
type ConfigError struct {
	// Field is the Go name of the missing field.
	Field string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return "replica: Config." + e.Field + " is required"
}

// errSnapshotStale reports that the log reached the index of a snapshot while it was being
// received, so that the snapshot is not installed.
var errSnapshotStale = errors.New("replica: received snapshot is no longer needed")

// errNotRunning rejects calls that need the raft node before the loop runs.
var errNotRunning = &rpc.Error{Code: rpc.CodeUnavailable, Message: "replica has not joined a cluster yet"}
