package api

// WorkerState is the scheduler's view of a worker.
type WorkerState string

// Worker states.
const (
	// WorkerReady gets new tasks.
	WorkerReady WorkerState = "ready"
	// WorkerWaiting sends heartbeats but gets no tasks yet; its Reason says
	// why.
	WorkerWaiting WorkerState = "waiting"
	// WorkerDraining gets no new tasks.
	WorkerDraining WorkerState = "draining"
	// WorkerSilent has missed heartbeats; its lease may still be valid.
	WorkerSilent WorkerState = "silent"
	// WorkerSuspect gets only tasks that no other worker could run, since
	// tasks fail or stall on it and not elsewhere.
	WorkerSuspect WorkerState = "suspect"
	// WorkerProbation was suspect; it gets one task at a time.
	WorkerProbation WorkerState = "probation"
	// WorkerLost has missed heartbeats and its lease has expired.
	WorkerLost WorkerState = "lost"
)

// WorkerStatus is an element of WorkerList.
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
