package protocol

import "github.com/decklever/decklever/api"

// HeartbeatRequest relays one heartbeat of a worker. The agent never retries it: if the call
// fails, the agent answers the worker with 503, and the worker continues with its next seq.
type HeartbeatRequest struct {
	// Agent is the agent's process name, and Zone the agent's zone.
	Agent     string        `cbor:"1,keyasint"`
	Zone      string        `cbor:"2,keyasint"`
	Heartbeat api.Heartbeat `cbor:"3,keyasint"`
	// ConfigVersion is the version of the configuration in force in the agent. It has the
	// same effect as WatchRequest.ConfigVersion.
	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatAnswer contains the answer for the worker.
type HeartbeatAnswer struct {
	Answer api.HeartbeatAnswer `cbor:"1,keyasint"`
}

// LeaveRequest announces that a worker incarnation is about to leave. Once the request is
// answered, the incarnation gets no new assignments. If the request is lost, the agent
// answers the worker with 503, and the worker retries. A duplicate, or a request for an
// unknown incarnation, has no effect.
type LeaveRequest struct {
	WorkerID string `cbor:"1,keyasint"`
	// RemainingMillis is the minimum time until the worker stops; 0 if it is unknown.
	RemainingMillis int64 `cbor:"2,keyasint"`
}
