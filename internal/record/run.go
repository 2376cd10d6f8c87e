package record

// Run is an open run. It occupies resources on its worker until it is closed.
type Run struct {
	Task   *Task
	Number uint32
	// WorkerID is the worker's incarnation, Worker its stable name.
	WorkerID string
	Worker   string
	// Token is the fencing token under which the run was placed, which is the
	// leader's term.
	Token    uint64
	PlacedAt Millis
	// Stop is the reason for the requested stop, StopNone if no stop was requested.
	Stop StopReason
}

// ID returns the run's id.
func (r *Run) ID() RunID { return RunID{Task: r.Task.ID, Number: r.Number} }

// StopReason is the reason for the stop of a run. The texts are stored in the log
// and in snapshots.
type StopReason string

// Stop reasons. A run that ends as stopped does not count as a failure, whatever
// the reason.
const (
	// StopNone: no stop was requested.
	StopNone StopReason = ""
	// StopCancelled: the run's job was cancelled.
	StopCancelled StopReason = "cancelled"
	// StopDrained: the run's worker or zone is drained.
	StopDrained StopReason = "drained"
	// StopPreempted: the run's resources are needed for more urgent work.
	StopPreempted StopReason = "preempted"
	// StopGang: not all members of the run's gang started in time or, in a gang
	// with a common outcome, another member ended first.
	StopGang StopReason = "group"
	// StopStalled: the run reported no progress for too long.
	StopStalled StopReason = "stalled"
)
