package record

// Run is an open run: it takes resources on its worker until it is closed.
type Run struct {
	Task   *Task
	Number uint32
	// WorkerID is the worker's incarnation, Worker its stable name.
	WorkerID string
	Worker   string
	// Token is the fencing token under which the run was placed: the term of
	// the leader.
	Token    uint64
	PlacedAt Millis
	// Stop is why the run is to be stopped, StopNone while it is not.
	Stop StopReason
}

// ID returns the run's name.
func (r *Run) ID() RunID { return RunID{Task: r.Task.ID, Number: r.Number} }

// StopReason is why a run is to be stopped. The texts are stored in the log and
// in snapshots.
type StopReason string

// Stop reasons. A run that ends as stopped counts as no failure, whatever the
// reason.
const (
	// StopNone: the run is not to be stopped.
	StopNone StopReason = ""
	// StopCancelled: its job was cancelled.
	StopCancelled StopReason = "cancelled"
	// StopDrained: its worker or zone is drained.
	StopDrained StopReason = "drained"
	// StopPreempted: its resources are needed for more urgent work.
	StopPreempted StopReason = "preempted"
	// StopGang: not all members of its gang started in time or, with a common
	// outcome, another member ended first.
	StopGang StopReason = "group"
	// StopStalled: it reported no progress for too long.
	StopStalled StopReason = "stalled"
)
