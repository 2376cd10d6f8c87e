package scheduler

import (
	"context"
	"errors"
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/scheduler/slo"
)

// notLeaderError returns the error of a replica that does not lead. It has the address
// of the leader, if known, so that the caller can call that one.
func notLeaderError(log replica.Log) *rpc.Error {
	refusal := &rpc.Error{Code: rpc.CodeNotLeader, Message: "this scheduler is not the leader"}
	if leader, known := log.Leader(); known {
		refusal.LeaderAddress = leader.Address
	}
	return refusal
}

func (t *term) notLeader() *rpc.Error { return notLeaderError(t.log) }

// proposalError converts the error of a failed proposal. Its code tells the caller
// whether the command may have taken effect (rpc.CodeUnknownOutcome).
func (t *term) proposalError(err error) *rpc.Error {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return t.notLeader()
	case errors.Is(err, replica.ErrOverloaded):
		return &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	case errors.Is(err, replica.ErrOutcomeUnknown), errors.Is(err, replica.ErrStopped),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return &rpc.Error{Code: rpc.CodeUnknownOutcome, Message: err.Error()}
	default:
		return &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
}

// errUnknownJob matches the error of a job that is not known.
var errUnknownJob = &api.Error{Code: api.CodeNotFound}

func notFoundError(kind, id string) *api.Error {
	return &api.Error{Status: http.StatusNotFound, Code: api.CodeNotFound, Message: kind + " " + id + " is not known"}
}

func invalidError(subject string, fields []api.FieldError) *api.Error {
	return &api.Error{Status: http.StatusUnprocessableEntity, Code: api.CodeInvalid, Message: subject + " is invalid", Fields: fields}
}

func overLimitError(message string) *api.Error {
	return &api.Error{Status: http.StatusTooManyRequests, Code: api.CodeOverLimit, Message: message, RetryAfterMillis: slo.MinRetryAfter.Milliseconds()}
}
