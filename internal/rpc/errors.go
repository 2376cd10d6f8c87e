package rpc

import (
	"fmt"

	"github.com/decklever/decklever/api"
)

// Code says why a call was refused.
type Code string

// Codes.
const (
	// CodeNotLeader: this scheduler is not acting; LeaderAddress may say who
	// is. The call had no effect.
	CodeNotLeader Code = "not_leader"
	// CodeUnavailable: no effect; try later or elsewhere.
	CodeUnavailable Code = "unavailable"
	// CodeUnknownOutcome: the call may or may not have had its effect.
	CodeUnknownOutcome Code = "unknown_outcome"
	// CodeRefused: API carries the final answer.
	CodeRefused Code = "refused"
	// CodeBadRequest: the message could not be read or makes no sense.
	CodeBadRequest Code = "bad_request"
	// CodeTransport is made by the client: no answer was had. Whether the
	// call had an effect is unknown unless Unsent is true.
	CodeTransport Code = "transport"
)

// Error is a refused or failed call.
type Error struct {
	Code    Code   `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
	// LeaderAddress accompanies CodeNotLeader; empty if unknown.
	LeaderAddress string `cbor:"3,keyasint,omitempty"`
	// API accompanies CodeRefused.
	API *api.Error `cbor:"4,keyasint,omitempty"`
	// Unsent: the connection could not be made, so the call had no effect.
	Unsent bool `cbor:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.API != nil {
		return e.API.Error()
	}
	return fmt.Sprintf("rpc: %s: %s", e.Code, e.Message)
}

// Is makes errors.Is match two Errors of the same code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// Unwrap gives access to the API error.
func (e *Error) Unwrap() error {
	if e.API == nil {
		return nil
	}
	return e.API
}
