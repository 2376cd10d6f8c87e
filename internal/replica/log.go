package replica

import (
	"context"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Leadership describes one term in which this replica leads. It begins once the
// local record reflects every entry of earlier terms.
type Leadership struct {
	// Token is the raft term. It is the fencing token of every instruction of the leader.
	Token uint64
	// Context is canceled when this replica stops leading in the term.
	Context context.Context
}

// Log is the replicated log as used by package scheduler; tests substitute a fake.
type Log interface {
	// Propose commits a command and returns the result of applying it to the local
	// record. It sets the command's Time and Token. A command whose token is not the
	// current term is rejected with ErrNotLeader.
	Propose(ctx context.Context, token uint64, command record.Command) (record.Result, error)
	// HoldsLease reports whether this replica leads in the term given by token and its
	// lease excludes any other leader at the time of the call.
	HoldsLease(token uint64) bool
	// ReadBarrier returns nil once the local record reflects everything that was
	// acknowledged before the call. It works on the leader and on followers.
	ReadBarrier(ctx context.Context) error
	// Now returns the time of the cluster clock. It is valid on the leader only.
	Now() record.Millis
	// Record returns the local record.
	Record() *record.Machine
	// Status returns a copy of the state of the raft node.
	Status() raft.Status
	// Leader returns the current leader; false if none is known.
	Leader() (raft.Member, bool)
}
