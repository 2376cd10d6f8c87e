package api

import "time"

// ConfigStatus is the answer of GET and PUT /v1/config.
type ConfigStatus struct {
	// Version increases by one with each accepted configuration. Version 0 is
	// the built-in empty configuration.
	Version uint64 `json:"version"`
	Config  Config `json:"config"`
}

// ConfigVersion describes one accepted configuration.
type ConfigVersion struct {
	Version    uint64    `json:"version"`
	OrderID    string    `json:"order_id"`
	AcceptedAt time.Time `json:"accepted_at"`
	Digest     string    `json:"digest"`
}

// ConfigVersions is the answer of GET /v1/config/versions, with the newest
// version first.
type ConfigVersions struct {
	Versions []ConfigVersion `json:"versions"`
}

// ProcessRollout describes the configuration at one live process.
type ProcessRollout struct {
	// Process is the name in the settings of the process.
	Process string `json:"process"`
	// Role is "front" or "agent". Schedulers are not listed: the leader reads
	// the replicated state itself, and a new leader acts only once it has
	// applied all of it.
	Role string `json:"role"`
	Zone string `json:"zone"`
	// Version is the version in force at the process, as last reported by it.
	Version uint64 `json:"version"`
	// AgeMillis is the time since the report of Version.
	AgeMillis int64 `json:"age_ms"`
}

// Rollout is the answer of GET /v1/config/rollout: which processes use the
// newest version of the configuration.
type Rollout struct {
	Version   uint64           `json:"version"`
	Complete  bool             `json:"complete"`
	Processes []ProcessRollout `json:"processes"`
}
