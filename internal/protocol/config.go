package protocol

import "github.com/decklever/decklever/api"

// ConfigRequest reads the configuration.
type ConfigRequest struct {
	// Annotation, if not empty, restricts the content of the answer to the annotation of
	// this name.
	Annotation string `cbor:"1,keyasint,omitempty"`
}

// ConfigAnswer contains a version of the configuration and its content.
type ConfigAnswer struct {
	Status api.ConfigStatus `cbor:"1,keyasint"`
}

// PutConfigRequest proposes a configuration. A duplicate gets the answer of the first request.
type PutConfigRequest struct {
	// OrderID is the idempotency key.
	OrderID string `cbor:"1,keyasint"`
	// Base is the version that Config replaces.
	Base   uint64     `cbor:"2,keyasint"`
	Config api.Config `cbor:"3,keyasint"`
}

// PutConfigAnswer contains the version number given to the accepted configuration.
type PutConfigAnswer struct {
	Version uint64 `cbor:"1,keyasint"`
}

// ValidateConfigRequest checks a configuration without putting it in force.
type ValidateConfigRequest struct {
	Config api.Config `cbor:"1,keyasint"`
}

// ConfigVersionsAnswer lists the accepted versions.
type ConfigVersionsAnswer struct {
	Versions api.ConfigVersions `cbor:"1,keyasint"`
}

// RolloutAnswer reports which configuration version each process has in force.
type RolloutAnswer struct {
	Rollout api.Rollout `cbor:"1,keyasint"`
}
