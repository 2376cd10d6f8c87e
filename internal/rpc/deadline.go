package rpc

import (
	"context"
	"sync"
	"time"
)

// deadlineContext is a context.Context that ends at its deadline, when its parent ends, or
// when end is called. It creates a context with a timer only when something waits for its
// end, because most handlers return without waiting. It is safe for concurrent use.
type deadlineContext struct {
	parent   context.Context
	deadline time.Time

	// mutex guards the fields below.
	mutex sync.Mutex
	// timed is the context with a timer; nil until something waits for the end of this
	// context. cancel ends it.
	timed  context.Context
	cancel context.CancelFunc
	ended  bool
}

// withTimeout returns a context that ends after the timeout, or earlier if the parent does.
// The caller must call end.
func withTimeout(parent context.Context, timeout time.Duration) *deadlineContext {
	deadline := time.Now().Add(timeout)
	if earlier, ok := parent.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	return &deadlineContext{parent: parent, deadline: deadline}
}

// end cancels the context unless it has already ended.
func (c *deadlineContext) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
	if c.timed != nil {
		c.cancel()
	}
}

// timedContext returns the context with a timer, and creates it on the first call.
func (c *deadlineContext) timedContext() context.Context {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.timed == nil {
		c.timed, c.cancel = context.WithDeadline(c.parent, c.deadline)
		if c.ended {
			c.cancel()
		}
	}
	return c.timed
}

// Deadline implements context.Context.
func (c *deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Done implements context.Context.
func (c *deadlineContext) Done() <-chan struct{} { return c.timedContext().Done() }

// Err implements context.Context.
func (c *deadlineContext) Err() error {
	c.mutex.Lock()
	running := c.timed == nil && !c.ended && c.parent.Err() == nil && time.Now().Before(c.deadline)
	c.mutex.Unlock()
	if running {
		return nil
	}
	return c.timedContext().Err()
}

// Value implements context.Context. It delegates to the context with a timer if there is
// one, so that package context attaches derived contexts to that context directly.
func (c *deadlineContext) Value(key any) any {
	c.mutex.Lock()
	timed := c.timed
	c.mutex.Unlock()
	if timed != nil {
		return timed.Value(key)
	}
	return c.parent.Value(key)
}
