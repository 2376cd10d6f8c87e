package replica

import (
	"context"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Leadership is one term of this replica as acting leader. It begins once the
// record reflects every entry of earlier terms.
type Leadership struct {
	// Token is the term. It is the fencing token of all that the leader orders.
	Token uint64
	// Context ends when the term does.
	Context context.Context
}

// Log is the replicated log as package scheduler uses it; tests substitute another.
type Log interface {
	// Propose commits a command and returns the result of applying it here. It
	// fills in Time and Token of the command. A command whose token is not the
	// current term is rejected with ErrNotLeader.
	Propose(ctx context.Context, token uint64, command record.Command) (record.Result, error)
	// HoldsLease reports whether at the time of the call no other replica can
	// lead, and this one leads in the term that token names.
	HoldsLease(token uint64) bool
	// ReadBarrier returns once the local record reflects everything that was
	// acknowledged before the call. It works on the leader and on followers.
	ReadBarrier(ctx context.Context) error
	// Now is the cluster clock; it is meaningful on a leader only.
	Now() record.Millis
	// Record is the local record.
	Record() *record.Machine
	// Status is a copy of the state of the raft node.
	Status() raft.Status
	// Leader returns the member that leads, if one is known.
	Leader() (raft.Member, bool)
}
