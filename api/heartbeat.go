package api

// RunRef identifies one run of one task.
type RunRef struct {
	// Task is "JOB/STEP/INDEX", followed by "/OCCURRENCE" if that is not 0.
	Task string `json:"task"`
	// Run is the number of the run among those of the task, from 1.
	Run uint32 `json:"run"`
}

// Outcome is how a run ended.
type Outcome string

// Outcomes. Workers report the first three. OutcomeLost is set by the scheduler
// and never counts as a failure.
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
	// Message explains the outcome to users, at most 1 KiB. Optional.
	Message string `json:"message,omitempty"`
	// Checkpoint is the newest checkpoint of a resumable task's run, at most
	// MaxCheckpointBytes. Default: none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// RunProgress is a worker's report of the progress of an open run.
type RunProgress struct {
	RunRef
	// Percent is the part of the work that is done, 0 to 100, as estimated by
	// the worker.
	Percent int `json:"percent,omitempty"`
	// Checkpoint is the newest checkpoint of a resumable task's run, at most
	// MaxCheckpointBytes. Default: none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Heartbeat is the body of POST /v1/heartbeat, sent by a worker to its agent.
type Heartbeat struct {
	// WorkerID identifies the incarnation of the worker: each start of the
	// process uses a new one. Required.
	WorkerID string `json:"worker_id"`
	// Name is the worker's name, which stays the same across restarts. Required.
	Name string `json:"name"`
	// Seq is the sequence number of the heartbeat. It starts at 1 and increases
	// with each heartbeat of this WorkerID.
	Seq uint64 `json:"seq"`
	// AcceptedSeq is the Seq of the last heartbeat whose answer the worker
	// accepted; 0 if none.
	AcceptedSeq uint64 `json:"accepted_seq"`
	// AcceptedToken is the Token of that answer. It tells an answer of the present leader
	// from one of an earlier leader. Default 0: unknown.
	AcceptedToken uint64 `json:"accepted_token,omitempty"`
	// Capacity is the total resources of the worker.
	Capacity Resources `json:"capacity"`
	// Place names a resource that only one live process of the machine can
	// have, such as a listening address. Once a later process with the same
	// Place has accepted an answer, an earlier process that misses heartbeats
	// must have ended, so its runs are closed without waiting for its lease to
	// expire. Default "": the runs are closed only when the lease expires.
	Place string `json:"place,omitempty"`
	// Services are the services for which the worker has handlers.
	Services []string `json:"services"`
	// Labels describe the worker; the agent adds "zone".
	Labels map[string]string `json:"labels,omitempty"`
	// Running lists the accepted runs that have not ended.
	Running []RunRef `json:"running"`
	// Ended lists the runs that have ended and are not yet acknowledged.
	Ended []EndedRun `json:"ended"`
	// EndedIncomplete is true if more runs may have ended than Ended lists. A run that is in
	// neither list is then not taken for lost. A worker may instead list such runs as
	// running. Default false: the lists are complete.
	EndedIncomplete bool `json:"ended_incomplete,omitempty"`
	// Progress reports the progress of runs listed in Running. It need not have
	// an entry for each of them. Optional.
	Progress []RunProgress `json:"progress,omitempty"`
	// Draining is true once the worker is shutting down and accepts no new runs.
	Draining bool `json:"draining"`
	// RemainingMillis is the minimum time until a draining worker exits. Runs
	// that are open at that moment are lost. Default 0: unknown.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// LeaveNotice is the body of POST /v1/leave, sent by a worker to its agent when
// the worker is about to exit. After the answer the worker gets no new runs; it
// continues to send heartbeats while it has open runs. The call is idempotent.
type LeaveNotice struct {
	// WorkerID is the WorkerID in the worker's heartbeats. Required.
	WorkerID string `json:"worker_id"`
	// RemainingMillis is the minimum time until the worker exits. Runs that are
	// open at that moment are lost. Default 0: unknown.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// LeaveAnswer is the answer of POST /v1/leave.
type LeaveAnswer struct {
	// Leaving is always true: the worker gets no new runs.
	Leaving bool `json:"leaving"`
}

// StartOrder is an assignment: the order to a worker to start a run. It is
// contained in exactly one answer.
type StartOrder struct {
	RunRef
	// Spec describes the task. Its Payload is that of the job if the task has
	// none.
	Spec TaskSpec `json:"spec"`
	// Checkpoint is the newest known checkpoint of a resumable task, from which
	// the run continues; empty if there is none. All members of a group get the
	// same checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// HeartbeatAnswer is the answer to a Heartbeat. It renews the worker's lease.
type HeartbeatAnswer struct {
	// Seq is the Seq of the answered heartbeat. A worker discards the answer
	// unless that is its newest heartbeat.
	Seq uint64 `json:"seq"`
	// Token is the fencing token. A worker discards an answer whose token is
	// lower than the highest token that it has accepted.
	Token uint64 `json:"token"`
	// HoldMillis is the duration of the lease: the worker may run its tasks
	// until this time has passed on its own monotonic clock since it sent the
	// heartbeat.
	HoldMillis int64 `json:"hold_ms"`
	// IntervalMillis is the time until the next heartbeat.
	IntervalMillis int64 `json:"interval_ms"`
	// Start lists runs to start. Stop lists runs to stop, which are repeated in
	// each answer until they end.
	Start []StartOrder `json:"start"`
	Stop  []RunRef     `json:"stop"`
	// Acknowledged lists ended runs that the worker need not report again. The
	// task of an acknowledged successful run is final.
	Acknowledged []RunRef `json:"acknowledged"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"config_version"`
}
