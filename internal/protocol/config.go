package protocol

import "github.com/decklever/decklever/api"

// ConfigRequest reads the configuration.
type ConfigRequest struct {
	// Annotation, if given, names the annotation that is all of the content that is asked
	// for.
	Annotation string `cbor:"1,keyasint,omitempty"`
}

// ConfigAnswer has a version of the configuration and its content.
type ConfigAnswer struct {
	Status api.ConfigStatus `cbor:"1,keyasint"`
}

// PutConfigRequest proposes a configuration. A duplicate gets the same answer again.
type PutConfigRequest struct {
	// OrderID is the idempotency key.
	OrderID string `cbor:"1,keyasint"`
	// Base is the version that the configuration replaces.
	Base   uint64     `cbor:"2,keyasint"`
	Config api.Config `cbor:"3,keyasint"`
}

// PutConfigAnswer has the version that was accepted.
type PutConfigAnswer struct {
	Version uint64 `cbor:"1,keyasint"`
}

// ValidateConfigRequest checks a configuration without putting it in force.
type ValidateConfigRequest struct {
	Config api.Config `cbor:"1,keyasint"`
}

// ConfigVersionsAnswer has the accepted versions.
type ConfigVersionsAnswer struct {
	Versions api.ConfigVersions `cbor:"1,keyasint"`
}

// RolloutAnswer says which process has which version.
type RolloutAnswer struct {
	Rollout api.Rollout `cbor:"1,keyasint"`
}
