package front

import (
	"context"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// attemptTimeout bounds one attempt, beside the time that the answer may be held.
	attemptTimeout = time.Second
	// MaxAttemptDuration is the longest time of one attempt.
	MaxAttemptDuration = attemptTimeout + maxLongPoll
	// freshnessCheckInterval is how often a long poll checks whether the link is fresh.
	freshnessCheckInterval = 100 * time.Millisecond
	// shutdownGrace is how long a call goes on after the context of its request ended.
	shutdownGrace = 500 * time.Millisecond
)

// relayCall is one call to the leader, with all its attempts.
type relayCall[Request any] struct {
	method  protocol.Method
	request Request
	// mutating is true if the call changes something: a lost answer then leaves its
	// outcome unknown.
	mutating bool
	// maxWait is how long the leader may hold the answer; over 0 for a long poll.
	maxWait time.Duration
	// deadline bounds all attempts, as the context's own deadline does. Default: after
	// Settings.Deadline.
	deadline time.Time
	// renew, if given, updates the call before a further attempt, as time has passed.
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

// relay calls the leader until there is an answer, a final rejection, or the deadline. Any
// call may be retried, since all are idempotent.
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
	attempts := relayAttempts{front: f, method: call.method, mutating: call.mutating, started: time.Now()}
	for {
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
			var none Answer
			return none, attempts.giveUp()
		}
		if call.renew != nil {
			call.renew(&call)
		}
	}
}

// attemptCall makes one attempt.
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

// cancelWhenStale cancels a long poll when the link stops being fresh: its answer is then
// probably not just held. The returned function ends the check and must be called.
func cancelWhenStale(ctx context.Context, link Link, cancel context.CancelFunc) (stop func()) {
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

// withShutdownGrace returns a context that ends a length of time after its parent, so that
// a call in flight when the process is told to stop can still be answered. The returned
// function releases it and must be called.
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

// sleep waits for a length of time, unless ctx would end earlier: then it returns at once.
// It reports whether the whole length passed.
func sleep(ctx context.Context, length time.Duration) (passed bool) {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= length {
		return false
	}
	return contexttime.Sleep(ctx, length)
}
