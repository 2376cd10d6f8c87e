package api

// WorkerState is the state of a worker as seen by the leader.
type WorkerState string

// Worker states.
const (
	// WorkerReady is a worker that gets new tasks.
	WorkerReady WorkerState = "ready"
	// WorkerWaiting is a worker that sends heartbeats but gets no tasks yet;
	// WorkerStatus.Reason explains why.
	WorkerWaiting WorkerState = "waiting"
	// WorkerDraining is a worker that is drained or about to exit and gets no
	// new tasks.
	WorkerDraining WorkerState = "draining"
	// WorkerSilent is a worker that has missed heartbeats; its lease may still be
	// valid.
	WorkerSilent WorkerState = "silent"
	// WorkerSuspect is a worker on which tasks fail or stall, unlike on other
	// workers. It gets only tasks that no other worker could run.
	WorkerSuspect WorkerState = "suspect"
	// WorkerProbation is a worker that was suspect and now gets one task at a
	// time.
	WorkerProbation WorkerState = "probation"
	// WorkerLost is a worker that has missed heartbeats and whose lease has
	// expired.
	WorkerLost WorkerState = "lost"
)

// WorkerStatus describes one incarnation of a worker.
type WorkerStatus struct {
	Name     string            `json:"name"`
	WorkerID string            `json:"worker_id"`
	Zone     string            `json:"zone"`
	State    WorkerState       `json:"state"`
	Reason   string            `json:"reason,omitempty"`
	Capacity Resources         `json:"capacity"`
	Used     Resources         `json:"used"`
	Services []string          `json:"services"`
	Labels   map[string]string `json:"labels,omitempty"`
	// Runs is the number of open runs.
	Runs int `json:"runs"`
	// SilentMillis is the time since the last heartbeat.
	SilentMillis int64 `json:"silent_ms"`
}

// WorkerList is the answer of GET /v1/workers.
type WorkerList struct {
	Workers []WorkerStatus `json:"workers"`
}
