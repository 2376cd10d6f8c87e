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
	// initialBackoff and maxBackoff are the smallest and the largest backoff between
	// attempts. Up to half of a backoff is random jitter.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// maxBackoffDoublings limits the doublings of the backoff, so that it does not overflow.
	maxBackoffDoublings = 8
	// staleDeadline is how long a call is retried while the link to the leader is not
	// fresh: a network partition may separate this front from the leader, and the caller
	// should then soon try another front.
	staleDeadline = time.Second
	// maxImmediateRedirects is how many leader hints one call follows without a backoff, so
	// that schedulers that name each other as leader are not called in a busy loop.
	maxImmediateRedirects = 2
	// retryAfterGivingUp is the Retry-After of the answer when all attempts failed.
	retryAfterGivingUp = 500 * time.Millisecond
)

// relayAttempts is the state of the attempts of one call. It is not safe for concurrent
// use.
type relayAttempts struct {
	front    *Front
	method   protocol.Method
	mutating bool
	// lostRaceInconclusive is relayCall.lostRaceInconclusive.
	lostRaceInconclusive bool
	started              time.Time
	// maybeApplied is true once an attempt may have taken effect.
	maybeApplied bool
	// lastFailure is the message of the last failed attempt; empty before the first.
	lastFailure string
	// backoffs counts the retries after a backoff; redirects counts those that followed a
	// new leader address at once.
	backoffs  int
	redirects int
}

// recordFailure records a failed attempt. It returns the final error of the call if a
// further attempt cannot succeed, and nil if the call may be retried.
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
		// If the context of the call has ended, this side cut the attempt short, which
		// says nothing about the leader.
		if ctx.Err() == nil {
			a.front.link.ReportFailure(address)
		}
	default:
		return httpjson.Internal(failure.Error())
	}
	return nil
}

// handleRejection returns the final error of a call that the leader rejected. If the leader
// might accept the call later, or if the call lost a race that an earlier attempt may have won,
// the rejection does not rule out that an earlier attempt was accepted; the outcome is then unknown
// if one may have taken effect.
func (a *relayAttempts) handleRejection(failure *rpc.Error) *api.Error {
	if failure.API == nil {
		return httpjson.Internal(failure.Error())
	}
	mayBeAcceptedLater := retryable(failure.API.Status) || failure.API.Code == api.CodeImpossible
	mayHaveWon := a.lostRaceInconclusive && failure.API.Code == api.CodeLostRace
	if a.mutating && a.maybeApplied && (mayBeAcceptedLater || mayHaveWon) {
		return a.giveUp()
	}
	return failure.API
}

// waitForRetry waits before the next attempt, and reports whether there is time for one. If
// the known leader is not at calledAddress, the first maxImmediateRedirects retries follow
// without a wait.
func (a *relayAttempts) waitForRetry(ctx context.Context, calledAddress string) bool {
	if ctx.Err() != nil {
		return false
	}
	if !a.front.link.Fresh() && time.Since(a.started) >= staleDeadline {
		return false
	}
	next, known := a.front.link.Leader()
	if known && next != calledAddress && a.redirects < maxImmediateRedirects {
		a.redirects++
		return true
	}
	backoff := min(initialBackoff<<min(a.backoffs, maxBackoffDoublings), maxBackoff)
	a.backoffs++
	return sleep(ctx, backoff/2+rand.N(backoff/2))
}

// giveUp returns the final error of a call that got no conclusive answer in time.
func (a *relayAttempts) giveUp() *api.Error {
	failure := &api.Error{
		Status:           http.StatusServiceUnavailable,
		Code:             api.CodeUnavailable,
		Message:          "no scheduler could answer; nothing was done",
		RetryAfterMillis: retryAfterGivingUp.Milliseconds(),
	}
	if a.mutating && a.maybeApplied {
		failure.Code = api.CodeOutcomeUnknown
		failure.Message = "no scheduler answered in time; the request may have taken effect, retry it unchanged"
	}
	if a.lastFailure != "" {
		failure.Message += fmt.Sprintf(" (%s)", a.lastFailure)
	}
	return failure
}
