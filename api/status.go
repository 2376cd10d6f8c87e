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

// MemberStatus is a row of GET /v1/members: one scheduler.
type MemberStatus struct {
	// ReplicaID was drawn once for the member's data folder.
	ReplicaID string `json:"replica_id"`
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Leader    bool   `json:"leader"`
	Voter     bool   `json:"voter"`
	// Matched is the last log index known to be on the member.
	Matched uint64 `json:"matched"`
	// SilentMillis is the time since the leader heard it.
	SilentMillis int64 `json:"silent_ms"`
}

// MemberList is the answer of GET /v1/members.
type MemberList struct {
	// Token is the leader's term.
	Token       uint64         `json:"token"`
	CommitIndex uint64         `json:"commit_index"`
	Members     []MemberStatus `json:"members"`
}

// QueueStatus is a row of GET /v1/queues.
type QueueStatus struct {
	Name    string `json:"name"`
	Jobs    int    `json:"jobs"`
	Pending int    `json:"pending_tasks"`
	Running int    `json:"running_tasks"`
}

// QueueList is the answer of GET /v1/queues.
type QueueList struct {
	Queues []QueueStatus `json:"queues"`
}
