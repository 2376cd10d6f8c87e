package protocol

import "github.com/decklever/decklever/api"

// WatchRequest is a long poll: the leader answers once its state differs from ConfigVersion
// or Token, or after MaxWaitMillis. The request also confirms which configuration the
// process has in force. If it is lost or delayed, the process sends it again; this is safe
// because tokens and versions never decrease.
type WatchRequest struct {
	// Process is the name of the process.
	Process string `cbor:"1,keyasint"`
	// Role is "front" or "agent".
	Role string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// ConfigVersion is the version in force in the process; 0 before the first version.
	ConfigVersion uint64 `cbor:"4,keyasint"`
	// Token is the highest fencing token that the process has seen.
	Token uint64 `cbor:"5,keyasint"`
	// MaxWaitMillis is the maximum time until the answer; 0 requests an immediate one.
	MaxWaitMillis int64 `cbor:"6,keyasint"`
	// VersionOnly is true if the process does not need the content of configurations.
	VersionOnly bool `cbor:"7,keyasint,omitempty"`
}

// WatchAnswer contains the leader and the configuration in force. It grants a lease that
// begins when the process sent the request. Once the lease has expired without a newer
// answer, the process may be out of date and stops serving.
type WatchAnswer struct {
	// Token is the leader's fencing token.
	Token         uint64 `cbor:"1,keyasint"`
	LeaderAddress string `cbor:"2,keyasint"`
	ConfigVersion uint64 `cbor:"3,keyasint"`
	// Config is nil if the process already has ConfigVersion in force or set VersionOnly.
	Config *api.Config `cbor:"4,keyasint,omitempty"`
	// LeaseMillis is the duration of the lease.
	LeaseMillis int64 `cbor:"5,keyasint"`
}
