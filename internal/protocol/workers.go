package protocol

import "github.com/decklever/decklever/api"

// HeartbeatRequest relays one heartbeat of a worker. It is never sent twice: the agent
// answers 503 when the call fails, and the worker goes on with its next seq.
type HeartbeatRequest struct {
	// Agent is the agent's process name, Zone its zone.
	Agent     string        `cbor:"1,keyasint"`
	Zone      string        `cbor:"2,keyasint"`
	Heartbeat api.Heartbeat `cbor:"3,keyasint"`
	// ConfigVersion is the version of the configuration in force in the agent, which this
	// confirms as a watch does.
	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatAnswer has the answer for the worker.
type HeartbeatAnswer struct {
	Answer api.HeartbeatAnswer `cbor:"1,keyasint"`
}

// LeaveRequest gives notice that a worker incarnation leaves: it gets no new work from the
// answer on. If it is lost, the agent answers 503 and the worker tries again. A
// duplicate, or a notice of an incarnation that is not known, has no effect.
type LeaveRequest struct {
	WorkerID string `cbor:"1,keyasint"`
	// RemainingMillis is the least time that the worker still has; 0 if that is not known.
	RemainingMillis int64 `cbor:"2,keyasint"`
}
