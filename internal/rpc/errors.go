package rpc

import (
	"fmt"

	"github.com/decklever/decklever/api"
)

// Code is the reason for which a call failed. Its text is part of the protocol.
type Code string

// Codes.
const (
	// CodeNotLeader means that the scheduler is not the leader; LeaderAddress may name the
	// leader. The call had no effect.
	CodeNotLeader Code = "not_leader"
	// CodeUnavailable means that the call had no effect. It may be retried later or at
	// another scheduler.
	CodeUnavailable Code = "unavailable"
	// CodeUnknownOutcome means that the call may or may not have taken effect.
	CodeUnknownOutcome Code = "unknown_outcome"
	// CodeRefused means that the call was rejected; API is the final answer to it.
	CodeRefused Code = "refused"
	// CodeBadRequest means that the request is malformed.
	CodeBadRequest Code = "bad_request"
	// CodeTransport means that there was no valid answer. Only the client sets it; it is
	// never sent. Whether the call took effect is unknown unless Unsent is true.
	CodeTransport Code = "transport"
)

// Error is the error of a failed call.
type Error struct {
	Code    Code   `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
	// LeaderAddress is set with CodeNotLeader; empty if the leader is not known.
	LeaderAddress string `cbor:"3,keyasint,omitempty"`
	// API is the error of the API that the handler returned; set with CodeRefused.
	API *api.Error `cbor:"4,keyasint,omitempty"`
	// Unsent is true if no connection was made, so that the call had no effect.
	Unsent bool `cbor:"-"`
}

// Error implements error. It returns the text of the API error if there is one.
func (e *Error) Error() string {
	if e.API != nil {
		return e.API.Error()
	}
	return fmt.Sprintf("rpc: %s: %s", e.Code, e.Message)
}

// Is makes errors.Is match errors that have the same code.
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
