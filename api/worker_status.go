package api

// WorkerState is how the scheduler sees a worker.
type WorkerState string

// Worker states.
const (
	// WorkerReady takes new work.
	WorkerReady WorkerState = "ready"
	// WorkerWaiting has been heard, but the ready gate is still closed.
	WorkerWaiting WorkerState = "waiting"
	// WorkerDraining gets no new work.
	WorkerDraining WorkerState = "draining"
	// WorkerSilent has not been heard; its hold may still stand.
	WorkerSilent WorkerState = "silent"
	// WorkerSuspect gets no new work for a while, except what no other worker
	// could take: work fails or stands still there, and not elsewhere.
	WorkerSuspect WorkerState = "suspect"
	// WorkerProbation was suspect; it gets one task at a time.
	WorkerProbation WorkerState = "probation"
	// WorkerLost is silent and its hold has lapsed.
	WorkerLost WorkerState = "lost"
)

// WorkerStatus is a row of GET /v1/workers.
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
