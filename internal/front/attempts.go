package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// initialBackoff and maxBackoff bound the backoff between attempts; half of it is
	// jitter.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// maxBackoffDoublings keeps the doubled backoff from overflowing.
	maxBackoffDoublings = 8
	// staleDeadline bounds a call while the link to the leader is not fresh: this front may
	// be cut off by a partition, and the caller should then try another one soon.
	staleDeadline = time.Second
	// maxImmediateRedirects is how many hints of one call are followed without a backoff:
	// schedulers that name each other must not be called in a loop.
	maxImmediateRedirects = 2
	// retryAfterGivingUp is the Retry-After of a call that was given up.
	retryAfterGivingUp = 500 * time.Millisecond
)

// relayAttempts is what came of the attempts of one call.
type relayAttempts struct {
	front    *Front
	method   protocol.Method
	mutating bool
	started  time.Time
	// maybeApplied is true once an attempt may have had its effect.
	maybeApplied bool
	// lastFailure is the newest failure; empty while no leader was known.
	lastFailure string
	// backoffs and redirects count how further attempts came about.
	backoffs  int
	redirects int
}

// recordFailure records a failed attempt. It returns the final answer if a further attempt
// cannot help.
func (a *relayAttempts) recordFailure(ctx context.Context, address string, err error) (final *api.Error) {
	var failure *rpc.Error
	if !errors.As(err, &failure) {
		return httpjson.Internal(err.Error())
	}
	a.lastFailure = failure.Error()
	if failure.Code == rpc.CodeRefused {
		return a.handleRejection(failure)
	}
	a.front.metrics.countRetry(a.method, string(failure.Code))
	switch failure.Code {
	case rpc.CodeNotLeader:
		a.front.link.ObserveHint(failure.LeaderAddress)
	case rpc.CodeUnavailable:
	case rpc.CodeUnknownOutcome:
		a.maybeApplied = true
	case rpc.CodeTransport:
		a.maybeApplied = a.maybeApplied || !failure.Unsent
		// An attempt that this side cut short says nothing about the leader.
		if ctx.Err() == nil {
			a.front.link.ReportFailure(address)
		}
	default:
		return httpjson.Internal(failure.Error())
	}
	return nil
}

// handleRejection returns the final answer for a call that the leader rejected. That the
// leader does not accept a call now does not mean that it did not accept an earlier
// attempt.
func (a *relayAttempts) handleRejection(failure *rpc.Error) *api.Error {
	if failure.API == nil {
		return httpjson.Internal(failure.Error())
	}
	rejectedForNow := retryable(failure.API.Status) || failure.API.Code == api.CodeImpossible
	if a.mutating && a.maybeApplied && rejectedForNow {
		return a.giveUp()
	}
	return failure.API
}

// waitForRetry waits before the next attempt, and reports whether there is time for one. A
// hint to another address is followed at once.
func (a *relayAttempts) waitForRetry(ctx context.Context, called string) bool {
	if ctx.Err() != nil {
		return false
	}
	if !a.front.link.Fresh() && time.Since(a.started) >= staleDeadline {
		return false
	}
	next, known := a.front.link.Leader()
	if known && next != called && a.redirects < maxImmediateRedirects {
		a.redirects++
		return true
	}
	backoff := min(initialBackoff<<min(a.backoffs, maxBackoffDoublings), maxBackoff)
	a.backoffs++
	return sleep(ctx, backoff/2+rand.N(backoff/2))
}

// giveUp is the answer for a call that had no answer in time.
func (a *relayAttempts) giveUp() *api.Error {
	failure := &api.Error{
		Status:           http.StatusServiceUnavailable,
		Code:             api.CodeUnavailable,
		Message:          "no scheduler could answer; nothing was done",
		RetryAfterMillis: retryAfterGivingUp.Milliseconds(),
	}
	if a.mutating && a.maybeApplied {
		failure.Code = api.CodeOutcomeUnknown
		failure.Message = "no scheduler answered in time; it may have been done, send the same again"
	}
	if a.lastFailure != "" {
		failure.Message += fmt.Sprintf(" (%s)", a.lastFailure)
	}
	return failure
}
