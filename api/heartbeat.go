package api

// RunRef identifies one run of one task.
type RunRef struct {
	// Task is "JOB/STEP/INDEX", followed by "/OCCURRENCE" where that is not 0.
	Task string `json:"task"`
	// Run numbers the task's runs from 1.
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

// EndedRun is a worker's report of a run that has ended.
type EndedRun struct {
	RunRef
	Outcome Outcome `json:"outcome"`
	// Message explains the outcome to people, at most 1 KiB. Optional.
	Message string `json:"message,omitempty"`
	// Checkpoint is the newest checkpoint of a resumable task's run, at most
	// MaxCheckpointBytes. Default: none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// RunProgress is a worker's report of how far an open run is.
type RunProgress struct {
	RunRef
	// Percent is how much of the work is done, 0 to 100, by the worker's own
	// measure.
	Percent int `json:"percent,omitempty"`
	// Checkpoint is the newest checkpoint of a resumable task's run, at most
	// MaxCheckpointBytes. Default: none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Heartbeat is the body of POST /v1/heartbeat, sent by a worker to its agent.
type Heartbeat struct {
	// WorkerID identifies the incarnation: it is new for each life of the
	// worker process. Required.
	WorkerID string `json:"worker_id"`
	// Name is the worker's name, which outlives restarts. Required.
	Name string `json:"name"`
	// Seq increases with each heartbeat of this WorkerID, from 1.
	Seq uint64 `json:"seq"`
	// AcceptedSeq is the last Seq whose answer the worker accepted; 0 if
	// none.
	AcceptedSeq uint64 `json:"accepted_seq"`
	// Capacity is the total resources of the worker.
	Capacity Resources `json:"capacity"`
	// Place names something that only one live process of the machine can
	// have, such as the address on which it listens. Once a later process
	// with the same place has accepted an answer, an earlier one that misses
	// heartbeats must have ended, and its runs are closed without waiting for
	// its lease to expire. Default "": only lease expiry closes them.
	Place string `json:"place,omitempty"`
	// Services are the services for which the worker has handlers.
	Services []string `json:"services"`
	// Labels describe the worker; the agent adds "zone".
	Labels map[string]string `json:"labels,omitempty"`
	// Running lists every accepted run that has not ended.
	Running []RunRef `json:"running"`
	// Ended lists every run that has ended and is not yet acknowledged.
	Ended []EndedRun `json:"ended"`
	// Progress says how far runs of Running are. Without an entry nothing is
	// said about a run. Optional.
	Progress []RunProgress `json:"progress,omitempty"`
	// Draining is set once the worker shuts down: it accepts no new runs.
	Draining bool `json:"draining"`
	// RemainingMillis is the minimum time until a draining worker exits; runs
	// that are open then are lost. Default 0: not known.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// LeaveNotice is the body of POST /v1/leave, sent by a worker to its agent:
// the worker is about to exit. After the answer it gets no new runs; it sends
// heartbeats for as long as it has open runs. The call is idempotent.
type LeaveNotice struct {
	// WorkerID is the one of the worker's heartbeats. Required.
	WorkerID string `json:"worker_id"`
	// RemainingMillis is the minimum time until the worker exits; runs that
	// are open then are lost. Default 0: not known.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// LeaveAnswer is the answer of POST /v1/leave.
type LeaveAnswer struct {
	// Leaving is always true: the worker gets no new runs.
	Leaving bool `json:"leaving"`
}

// StartOrder tells a worker to start a run. It is contained in exactly one
// answer.
type StartOrder struct {
	RunRef
	// Spec is the full description of the task, with the job's Payload if the
	// task has none of its own.
	Spec TaskSpec `json:"spec"`
	// Checkpoint is the newest known checkpoint of a resumable task, from
	// which the run continues; empty if there is none. All members of a group
	// get the same.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// HeartbeatAnswer is the answer to a Heartbeat. It renews the worker's lease.
type HeartbeatAnswer struct {
	// Seq is the Seq of the heartbeat that is answered. A worker discards an
	// answer to any but its newest heartbeat.
	Seq uint64 `json:"seq"`
	// Token is the fencing token. A worker discards an answer whose token is
	// lower than the highest that it has accepted.
	Token uint64 `json:"token"`
	// HoldMillis is the duration of the lease: the worker may run its tasks
	// until this long after it sent the heartbeat, by its own monotonic
	// clock.
	HoldMillis int64 `json:"hold_ms"`
	// IntervalMillis is the pause before the next heartbeat.
	IntervalMillis int64 `json:"interval_ms"`
	// Start lists runs to start. Stop lists runs to stop, repeated until they
	// end.
	Start []StartOrder `json:"start"`
	Stop  []RunRef     `json:"stop"`
	// Acknowledged lists ended runs that need not be reported again. The task
	// of an acknowledged success is final.
	Acknowledged []RunRef `json:"acknowledged"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"config_version"`
}
