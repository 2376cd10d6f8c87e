package front

import (
	"context"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/requestcontext"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// attemptTimeout limits one attempt; the time for which the leader may hold the answer
	// comes on top.
	attemptTimeout = time.Second
	// MaxAttemptDuration is the longest duration of one attempt.
	MaxAttemptDuration = attemptTimeout + maxLongPoll
	// freshnessCheckInterval is the interval at which a long poll checks whether the link
	// is fresh.
	freshnessCheckInterval = 100 * time.Millisecond
	// shutdownGrace is how long a call may continue after the context of its request has
	// ended.
	shutdownGrace = 500 * time.Millisecond
)

// relayCall is one call to the leader, with all its attempts.
type relayCall[Request any] struct {
	method  protocol.Method
	request Request
	// mutating is true if the call changes state; if its answer is lost, its outcome is
	// unknown.
	mutating bool
	// lostRaceInconclusive is true if a rejection with api.CodeLostRace may follow from an
	// earlier attempt of the same call.
	lostRaceInconclusive bool
	// maxWait is how long the leader may hold the answer; greater than 0 for a long poll.
	maxWait time.Duration
	// deadline limits all attempts together; an earlier deadline of the context takes
	// precedence. Default: Settings.Deadline after the start of the call.
	deadline time.Time
	// renew updates the call before each retry, for the time that has passed. Optional.
	renew func(call *relayCall[Request])
}

// relayRead relays a call that changes no state.
func relayRead[Answer, Request any](ctx context.Context, f *Front, method protocol.Method, request Request) (Answer, *api.Error) {
	return relay[Answer](ctx, f, relayCall[Request]{method: method, request: request})
}

// relayMutation relays a call that changes state.
func relayMutation[Answer, Request any](ctx context.Context, f *Front, method protocol.Method, request Request) (Answer, *api.Error) {
	return relay[Answer](ctx, f, relayCall[Request]{method: method, request: request, mutating: true})
}

// relay calls the leader until it gets an answer or a final rejection, or until the deadline.
// It may retry any call, since all calls are idempotent. No attempt at a call that changes
// state begins after the caller has gone: the caller may have had its answer elsewhere since,
// and may have given a newer order.
func relay[Answer, Request any](ctx context.Context, f *Front, call relayCall[Request]) (Answer, *api.Error) {
	if call.deadline.IsZero() {
		call.deadline = time.Now().Add(f.settings.Load().Deadline)
	}
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(call.deadline) {
		call.deadline = ctxDeadline
	}
	caller := ctx
	if call.maxWait == 0 {
		extended, release := withShutdownGrace(ctx, shutdownGrace)
		defer release()
		ctx = extended
	}
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	attempts := relayAttempts{front: f, method: call.method, mutating: call.mutating, lostRaceInconclusive: call.lostRaceInconclusive, started: time.Now()}
	for {
		if call.mutating && requestcontext.CallerGone(caller) {
			var zero Answer
			return zero, attempts.giveUp()
		}
		address, known := f.link.Leader()
		if known {
			answer, err := attemptCall[Answer](ctx, f, address, call)
			if err == nil {
				return answer, nil
			}
			if final := attempts.recordFailure(ctx, address, err); final != nil {
				return answer, final
			}
		}
		if !attempts.waitForRetry(ctx, address) {
			var zero Answer
			return zero, attempts.giveUp()
		}
		if call.renew != nil {
			call.renew(&call)
		}
	}
}

// attemptCall makes one attempt. It is cancelled early once the link is no longer fresh, if it
// is a long poll, otherwise once another leader is known.
func attemptCall[Answer, Request any](ctx context.Context, f *Front, address string, call relayCall[Request]) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+call.maxWait)
	defer cancel()
	if call.maxWait > 0 {
		defer cancelWhenStale(ctx, f.link, cancel)()
	} else {
		supervised, endSupervision := f.link.Supervise(ctx, address)
		defer endSupervision()
		ctx = supervised
	}
	return rpc.Call[Request, Answer](ctx, f.client, address, call.method, call.request)
}

// cancelWhenStale calls cancel, which must cancel a long poll, once the link is no longer
// fresh: the leader is then probably unreachable rather than holding its answer. It does
// nothing if the link is not fresh at the start. The caller must call the returned function,
// which ends the check.
func cancelWhenStale(ctx context.Context, link LeaderLink, cancel context.CancelFunc) (stop func()) {
	ctx, stopCheck := context.WithCancel(ctx)
	wasFresh := link.Fresh()
	var checking sync.WaitGroup
	checking.Go(func() {
		for wasFresh && link.Fresh() && sleep(ctx, freshnessCheckInterval) {
		}
		if wasFresh && ctx.Err() == nil && !link.Fresh() {
			cancel()
		}
	})
	return func() {
		stopCheck()
		checking.Wait()
	}
}

// withShutdownGrace returns a context that ends the duration grace after its parent, so that
// a call that is in flight when the process is asked to stop can still be answered. The
// caller must call the returned function, which releases the context.
func withShutdownGrace(parent context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	release := context.AfterFunc(parent, func() {
		sleep(ctx, grace)
		cancel()
	})
	return ctx, func() {
		release()
		cancel()
	}
}

// sleep waits for the duration and returns true. It returns false if ctx ends first, and
// does so at once if the deadline of ctx is not later than the end of the wait.
func sleep(ctx context.Context, duration time.Duration) (passed bool) {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= duration {
		return false
	}
	return contexttime.Sleep(ctx, duration)
}
