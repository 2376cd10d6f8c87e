package protocol

import "github.com/decklever/decklever/api"

// WatchRequest is a long poll: the leader answers once something differs from what the
// process knows, or after MaxWaitMillis. It also confirms which configuration is in force
// in the process. If it is lost or late, the process sends it again; tokens and versions
// only grow.
type WatchRequest struct {
	// Process is the name of the process.
	Process string `cbor:"1,keyasint"`
	// Role is "front" or "agent".
	Role string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// ConfigVersion is the version in force in the process; 0 before the first.
	ConfigVersion uint64 `cbor:"4,keyasint"`
	// Token is the highest fencing token that the process has seen.
	Token uint64 `cbor:"5,keyasint"`
	// MaxWaitMillis is how long the answer may be held; with 0 it comes at once.
	MaxWaitMillis int64 `cbor:"6,keyasint"`
	// VersionOnly is true if the process does not need the content of configurations.
	VersionOnly bool `cbor:"7,keyasint,omitempty"`
}

// WatchAnswer says what is in force. A process without an answer for longer than the
// lease, counted from when it sent the request, may be out of date and stops serving.
type WatchAnswer struct {
	// Token is the leader's fencing token.
	Token         uint64 `cbor:"1,keyasint"`
	LeaderAddress string `cbor:"2,keyasint"`
	ConfigVersion uint64 `cbor:"3,keyasint"`
	// Config is nil if the process has this version already, or asked for the version
	// only.
	Config *api.Config `cbor:"4,keyasint,omitempty"`
	// LeaseMillis is the length of the lease that the answer grants.
	LeaseMillis int64 `cbor:"5,keyasint"`
}
