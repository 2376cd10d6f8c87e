package api

import "time"

// ConfigStatus is the answer of GET and PUT /v1/config.
type ConfigStatus struct {
	// Version grows by one with each accepted configuration. Version 0 is the
	// built-in empty one.
	Version uint64 `json:"version"`
	Config  Config `json:"config"`
}

// ConfigVersion is an element of ConfigVersions: one accepted configuration.
type ConfigVersion struct {
	Version    uint64    `json:"version"`
	OrderID    string    `json:"order_id"`
	AcceptedAt time.Time `json:"accepted_at"`
	Digest     string    `json:"digest"`
}

// ConfigVersions is the answer of GET /v1/config/versions, newest first.
type ConfigVersions struct {
	Versions []ConfigVersion `json:"versions"`
}

// ProcessRollout is an element of Rollout: one live process.
type ProcessRollout struct {
	// Process is the name of the process in its settings.
	Process string `json:"process"`
	// Role is "front" or "agent". Schedulers are not listed: the leader reads
	// the replicated state itself, and a new leader acts only once it has
	// applied all of it.
	Role string `json:"role"`
	Zone string `json:"zone"`
	// Version is the configuration that the process last reported to be in
	// force.
	Version uint64 `json:"version"`
	// AgeMillis is the time since that report.
	AgeMillis int64 `json:"age_ms"`
}

// Rollout is the answer of GET /v1/config/rollout: which processes have the
// newest configuration in force.
type Rollout struct {
	Version   uint64           `json:"version"`
	Complete  bool             `json:"complete"`
	Processes []ProcessRollout `json:"processes"`
}
