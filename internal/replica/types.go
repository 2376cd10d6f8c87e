package replica

import (
	"context"
	"errors"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Errors of a Replica.
var (
	// ErrNotLeader: the proposal was not taken; it had no effect.
	ErrNotLeader = errors.New("replica: not the leader")
	// ErrOutcomeUnknown: the proposal may yet be committed.
	ErrOutcomeUnknown = errors.New("replica: outcome unknown")
	// ErrOverloaded: too many proposals wait; it had no effect.
	ErrOverloaded = errors.New("replica: too many proposals wait")
	// ErrStopped: the replica is shutting down.
	ErrStopped = errors.New("replica: stopped")
)

// Leadership is one term of this replica as acting leader, from the moment
// that its first entry is applied.
type Leadership struct {
	// Token is the term; it fences orders.
	Token uint64
	// Context ends when the term does.
	Context context.Context
}

// Log is what package scheduler needs of a Replica; tests give it another.
type Log interface {
	// Propose commits a command and returns the result of applying it here.
	// Time and Token of the command are filled in. A command under another
	// token than the present term's is refused with ErrNotLeader.
	Propose(ctx context.Context, token uint64, command record.Command) (record.Result, error)
	// HoldsLease tells whether this replica is, at this very moment, surely
	// the only leader, under this token.
	HoldsLease(token uint64) bool
	// ReadBarrier returns once the record reflects everything acknowledged
	// before the call, on the leader or on a follower.
	ReadBarrier(ctx context.Context) error
	// Now is the cluster clock; only meaningful on a leader.
	Now() record.Millis
	// Record is the local record.
	Record() *record.Machine
	// Status is a copy of the log's state.
	Status() raft.Status
	// Leader is the leader's member data as known; ok is false if none.
	Leader() (raft.Member, bool)
}
