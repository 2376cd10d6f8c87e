package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// attemptTimeout bounds one try, besides the time that the answer is held.
	attemptTimeout = time.Second
	// MaxAttemptDuration is the longest that one try can take.
	MaxAttemptDuration = attemptTimeout + maxLongPoll
	// initialBackoff and maxBackoff bound the pause between tries; it is
	// jittered by half.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// staleDeadline bounds a call while the link to the leader is not fresh: this
	// front may be cut off, and another one may not be, so that the caller is
	// better told at once to go there.
	staleDeadline = time.Second
	// staleCheck is how often a held try looks whether the link is still fresh.
	staleCheck = 100 * time.Millisecond
	// maxImmediateRedirects is how many hints of one call are followed without a
	// pause; schedulers that name each other would otherwise be asked without
	// end.
	maxImmediateRedirects = 2
	// shutdownGrace is how long a call goes on after its request's context ended.
	shutdownGrace = 500 * time.Millisecond
	// retryAfterGivingUp is what a caller is told after a call was given up.
	retryAfterGivingUp = 500 * time.Millisecond
)

// relayCall is one call to the leader, however often it is tried.
type relayCall[Request any] struct {
	method  protocol.Method
	request Request
	// mutating: the call changes something, so a lost answer leaves its outcome
	// unknown.
	mutating bool
	// maxWait is how long the leader may hold the answer.
	maxWait time.Duration
	// deadline bounds all tries, as the context's own does. Zero: the settings'
	// Deadline from now on.
	deadline time.Time
	// renew changes the call before it is tried again, as time has passed.
	// Optional.
	renew func(call *relayCall[Request])
}

// read relays a call that changes nothing.
func read[Answer, Request any](ctx context.Context, f *Front, method protocol.Method, request Request) (Answer, *api.Error) {
	return relay[Answer](ctx, f, relayCall[Request]{method: method, request: request})
}

// change relays a call that changes something.
func change[Answer, Request any](ctx context.Context, f *Front, method protocol.Method, request Request) (Answer, *api.Error) {
	return relay[Answer](ctx, f, relayCall[Request]{method: method, request: request, mutating: true})
}

// relay calls the leader until there is an answer, a final refusal, or the
// deadline. Any call may be tried again, since all are idempotent.
func relay[Answer, Request any](ctx context.Context, f *Front, call relayCall[Request]) (Answer, *api.Error) {
	if call.deadline.IsZero() {
		call.deadline = time.Now().Add(f.settings.Load().Deadline)
	}
	if given, ok := ctx.Deadline(); ok && given.Before(call.deadline) {
		call.deadline = given
	}
	if call.maxWait == 0 {
		extended, release := withShutdownGrace(ctx, shutdownGrace)
		defer release()
		ctx = extended
	}
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	tries := relayAttempts{front: f, method: call.method, mutating: call.mutating, started: time.Now()}
	for {
		address, known := f.link.Leader()
		if known {
			answer, err := attemptCall[Answer](ctx, f, address, call)
			if err == nil {
				return answer, nil
			}
			if final := tries.recordFailure(ctx, address, err); final != nil {
				return answer, final
			}
		}
		if !tries.waitForRetry(ctx, address) {
			var none Answer
			return none, tries.giveUp()
		}
		if call.renew != nil {
			call.renew(&call)
		}
	}
}

// attemptCall makes one try.
func attemptCall[Answer, Request any](ctx context.Context, f *Front, address string, call relayCall[Request]) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+call.maxWait)
	defer cancel()
	if call.maxWait > 0 {
		defer cancelWhenStale(ctx, f.link, cancel)()
	} else {
		supervised, end := f.link.Supervise(ctx, address)
		defer end()
		ctx = supervised
	}
	return rpc.Call[Request, Answer](ctx, f.client, address, call.method, call.request)
}

// cancelWhenStale ends a held try when the link stops being fresh: the answer is
// then not just held, there is nobody to give it. It returns what ends the
// watching.
func cancelWhenStale(ctx context.Context, link Link, cancel context.CancelFunc) func() {
	ctx, stop := context.WithCancel(ctx)
	wasFresh := link.Fresh()
	var watching sync.WaitGroup
	watching.Go(func() {
		for wasFresh && link.Fresh() && sleep(ctx, staleCheck) {
		}
		if wasFresh && ctx.Err() == nil && !link.Fresh() {
			cancel()
		}
	})
	return func() {
		stop()
		watching.Wait()
	}
}

// relayAttempts remembers what the tries of one call came to.
type relayAttempts struct {
	front    *Front
	method   protocol.Method
	mutating bool
	started  time.Time
	// maybeApplied: a try may have had its effect.
	maybeApplied bool
	// lastFailure is the newest failure; empty if no leader was known.
	lastFailure string
	backoffs    int
	redirects   int
}

// recordFailure takes in a failed try. It returns the refusal to answer with if
// trying again cannot help.
func (t *relayAttempts) recordFailure(ctx context.Context, address string, err error) *api.Error {
	var failure *rpc.Error
	if !errors.As(err, &failure) {
		return httpjson.Internal(err.Error())
	}
	t.lastFailure = failure.Error()
	if failure.Code == rpc.CodeRefused {
		return t.handleRejection(failure)
	}
	t.front.metrics.retried(t.method, string(failure.Code))
	switch failure.Code {
	case rpc.CodeNotLeader:
		t.front.link.ObserveHint(failure.LeaderAddress)
	case rpc.CodeUnavailable:
	case rpc.CodeUnknownOutcome:
		t.maybeApplied = true
	case rpc.CodeTransport:
		t.maybeApplied = t.maybeApplied || !failure.Unsent
		// A try that was cut short from our side says nothing about the leader.
		if ctx.Err() == nil {
			t.front.link.ReportFailure(address)
		}
	default:
		return httpjson.Internal(failure.Error())
	}
	return nil
}

// handleRejection takes in the leader's final word. That the leader does not take a
// call now does not say that an earlier try of it was not taken.
func (t *relayAttempts) handleRejection(failure *rpc.Error) *api.Error {
	if failure.API == nil {
		return httpjson.Internal(failure.Error())
	}
	notNow := retryable(failure.API.Status) || failure.API.Code == api.CodeImpossible
	if t.mutating && t.maybeApplied && notNow {
		return t.giveUp()
	}
	return failure.API
}

// waitForRetry waits before the next try and reports whether there is time for one.
// A hint to another address is followed at once.
func (t *relayAttempts) waitForRetry(ctx context.Context, asked string) bool {
	if ctx.Err() != nil {
		return false
	}
	if !t.front.link.Fresh() && time.Since(t.started) >= staleDeadline {
		return false
	}
	next, known := t.front.link.Leader()
	if known && next != asked && t.redirects < maxImmediateRedirects {
		t.redirects++
		return true
	}
	longest := min(initialBackoff<<min(t.backoffs, 8), maxBackoff)
	t.backoffs++
	return sleep(ctx, longest/2+rand.N(longest/2))
}

// giveUp is the refusal of a call that had no answer in time.
func (t *relayAttempts) giveUp() *api.Error {
	refusal := &api.Error{
		Status:           http.StatusServiceUnavailable,
		Code:             api.CodeUnavailable,
		Message:          "no scheduler could answer; nothing was done",
		RetryAfterMillis: retryAfterGivingUp.Milliseconds(),
	}
	if t.mutating && t.maybeApplied {
		refusal.Code = api.CodeOutcomeUnknown
		refusal.Message = "no scheduler answered in time; it may have been done, send the same again"
	}
	if t.lastFailure != "" {
		refusal.Message += fmt.Sprintf(" (%s)", t.lastFailure)
	}
	return refusal
}

// withShutdownGrace returns a context that ends a while after its parent does, so that a
// call under way when the process is told to stop can still be answered.
func withShutdownGrace(parent context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	release := context.AfterFunc(parent, func() {
		sleep(ctx, length)
		cancel()
	})
	return ctx, func() {
		release()
		cancel()
	}
}

// sleep waits, unless the context would end before; it reports whether it did.
func sleep(ctx context.Context, length time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= length {
		return false
	}
	return contexttime.Sleep(ctx, length)
}
