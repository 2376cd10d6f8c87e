package record

// Run is an open run: it holds room on its worker until it is closed.
type Run struct {
	Task   *Task
	Number uint32
	// WorkerID is the worker incarnation, Worker its stable name.
	WorkerID string
	Worker   string
	// Token is the term of the leader that placed the run.
	Token    uint64
	PlacedAt Millis
	// StopRuns is why the run must be stopped; empty while it need not be.
	Stop StopReason
}

// ID returns the run's name.
func (r *Run) ID() RunID { return RunID{Task: r.Task.ID, Number: r.Number} }

// StopReason is why a run is to be stopped.
type StopReason string

// StopRuns reasons. None counts as a failure.
const (
	StopNone      StopReason = ""
	StopCancelled StopReason = "cancelled"
	StopDrained   StopReason = "drained"
	StopPreempted StopReason = "preempted"
	// StopGang: the run's group did not start whole or, in lockstep, goes back
	// whole or has succeeded.
	StopGang StopReason = "group"
	// StopStalled: the run made no progress for long.
	StopStalled StopReason = "stalled"
)
