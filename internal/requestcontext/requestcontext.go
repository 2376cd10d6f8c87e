// Package requestcontext tells why the context of an HTTP request ended: because its caller
// has gone, or because the process that serves it is stopping. It has no state.
package requestcontext

import (
	"context"
	"errors"
)

// ErrStopping is the cause of the end of a request's context when its process stops. The
// caller still waits for the answer then.
var ErrStopping = errors.New("the process is stopping")

// CallerGone reports whether the context of a request has ended because its caller closed the
// connection or because its deadline is over. Nobody waits for the answer then.
//
// It may report false for a while after the caller has gone: a process that was suspended
// reads a request before it notices that the connection was closed since.
func CallerGone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrStopping)
}
