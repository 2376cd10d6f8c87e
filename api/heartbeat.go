package api

// RunRef names one run of one task.
type RunRef struct {
	// Task is "JOB/STEP/INDEX", followed by "/OCCURRENCE" where that is not 0.
	Task string `json:"task"`
	// Run counts the task's runs from 1.
	Run uint32 `json:"run"`
}

// Outcome is how a run ended.
type Outcome string

// Outcomes. Workers report the first three; the scheduler closes a run as
// lost, which never counts as a failure.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeStopped   Outcome = "stopped"
	OutcomeLost      Outcome = "lost"
)

// EndedRun is a worker's report of a run that is over.
type EndedRun struct {
	RunRef
	Outcome Outcome `json:"outcome"`
	// Message says more for people, at most 1 KiB. Optional.
	Message string `json:"message,omitempty"`
	// Checkpoint is the newest checkpoint of a resumable task's run, at most
	// MaxCheckpointBytes. Default none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// RunProgress is how far a run is.
type RunProgress struct {
	RunRef
	// Percent is the part of the work that is done, 0 to 100, by the worker's
	// own measure.
	Percent int `json:"percent,omitempty"`
	// Checkpoint is the newest checkpoint of a resumable task's run, at most
	// MaxCheckpointBytes. Default none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Heartbeat is the body of POST /v1/heartbeat, worker to agent.
type Heartbeat struct {
	// WorkerID is new for each life of the worker process. Required.
	WorkerID string `json:"worker_id"`
	// Name stays the same over restarts. Required.
	Name string `json:"name"`
	// Seq grows by at least one with each heartbeat of this WorkerID, from 1.
	Seq uint64 `json:"seq"`
	// AcceptedSeq is the last Seq whose answer was accepted; 0 if none.
	AcceptedSeq uint64 `json:"accepted_seq"`
	// Capacity is the whole room of the worker.
	Capacity Resources `json:"capacity"`
	// Place names what only one living process on the agent's machine can have,
	// such as the address on which it listens. Once a later process with the same
	// place has accepted an answer, an earlier one that is silent has surely
	// ended, and its runs need not wait for its hold. Default "": the hold alone
	// says when a silent worker has ended.
	Place string `json:"place,omitempty"`
	// Services are the handlers offered.
	Services []string `json:"services"`
	// Labels describe the worker; the agent adds "zone".
	Labels map[string]string `json:"labels,omitempty"`
	// Running lists every run accepted and not yet ended.
	Running []RunRef `json:"running"`
	// Ended lists every run that is over and not yet acknowledged.
	Ended []EndedRun `json:"ended"`
	// Progress says how far runs of Running are. A run that is not in it says
	// nothing about itself. Optional.
	Progress []RunProgress `json:"progress,omitempty"`
	// Draining is true once the worker was told to leave: no new starts.
	Draining bool `json:"draining"`
	// RemainingMillis is the least time that a draining worker still has; what
	// runs there after it is lost. Default 0: not known.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// LeaveNotice is the body of POST /v1/leave, worker to agent: the worker is
// about to end. From the answer on it gets no new work; its heartbeats go on
// for as long as it runs anything. Again, it changes nothing.
type LeaveNotice struct {
	// WorkerID is that of the heartbeats. Required.
	WorkerID string `json:"worker_id"`
	// RemainingMillis is the least time that the worker still has; what runs
	// there after it is lost. Default 0: not known.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// LeaveAnswer is the answer of POST /v1/leave.
type LeaveAnswer struct {
	// Leaving is always true: the scheduler gives the worker no new work.
	Leaving bool `json:"leaving"`
}

// StartOrder tells a worker to start a run. It stands in exactly one answer.
type StartOrder struct {
	RunRef
	// Spec is the whole description of the task, with the job's Payload if it
	// has none of its own.
	Spec TaskSpec `json:"spec"`
	// Checkpoint is the newest known of a resumable task, from which the run
	// goes on; empty if there is none. All members of a group get the same.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	// Seq is the Seq of the heartbeat that this answers.
	Seq uint64 `json:"seq"`
	// Token is the fencing token; one lower than the highest seen is refused.
	Token uint64 `json:"token"`
	// HoldMillis: the worker may run its tasks until this long after it sent
	// the heartbeat, on its own monotonic clock.
	HoldMillis int64 `json:"hold_ms"`
	// IntervalMillis is the pause before the next heartbeat.
	IntervalMillis int64 `json:"interval_ms"`
	// Start lists new runs; Stop lists runs to stop, repeated until they end.
	Start []StartOrder `json:"start"`
	Stop  []RunRef     `json:"stop"`
	// Acknowledged lists ended runs that need not be reported again: of a
	// success, its task is final.
	Acknowledged []RunRef `json:"acknowledged"`
	// ConfigVersion is the configuration in force.
	ConfigVersion uint64 `json:"config_version"`
}
