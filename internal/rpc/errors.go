package rpc

import (
	"fmt"

	"github.com/decklever/decklever/api"
)

// Code says why a call failed. Its text is part of the protocol.
type Code string

// Codes.
const (
	// CodeNotLeader means that the scheduler does not lead; LeaderAddress may say who
	// does. The call had no effect.
	CodeNotLeader Code = "not_leader"
	// CodeUnavailable means that the call had no effect. It may be retried later or
	// elsewhere.
	CodeUnavailable Code = "unavailable"
	// CodeUnknownOutcome means that the call may or may not have had its effect.
	CodeUnknownOutcome Code = "unknown_outcome"
	// CodeRefused means that the call was rejected; API is the final answer.
	CodeRefused Code = "refused"
	// CodeBadRequest means that the request is malformed.
	CodeBadRequest Code = "bad_request"
	// CodeTransport means that no answer came. The client makes it; it is never sent.
	// Whether the call had an effect is unknown unless Unsent is true.
	CodeTransport Code = "transport"
)

// Error is a failed call.
type Error struct {
	Code    Code   `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
	// LeaderAddress comes with CodeNotLeader; empty if the leader is not known.
	LeaderAddress string `cbor:"3,keyasint,omitempty"`
	// API comes with CodeRefused.
	API *api.Error `cbor:"4,keyasint,omitempty"`
	// Unsent is true if no connection was made, so that the call had no effect.
	Unsent bool `cbor:"-"`
}

// Error implements error. The text of an API error is its own.
func (e *Error) Error() string {
	if e.API != nil {
		return e.API.Error()
	}
	return fmt.Sprintf("rpc: %s: %s", e.Code, e.Message)
}

// Is has errors.Is match errors of the same code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// Unwrap returns the API error, if there is one.
func (e *Error) Unwrap() error {
	if e.API == nil {
		return nil
	}
	return e.API
}
