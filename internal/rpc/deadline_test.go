package rpc

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// runInBubble runs a test in a synctest bubble. It passes the function that cancels the
// parent context, and a context that ends after a second.
func runInBubble(t *testing.T, run func(t *testing.T, parent context.CancelFunc, ctx *deadlineContext)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		parent, cancel := context.WithCancel(t.Context())
		defer cancel()
		ctx := withTimeout(parent, time.Second)
		defer ctx.end()
		if ctx.Err() != nil {
			t.Fatal("new context has already ended")
		}
		run(t, cancel, ctx)
	})
}

// requireEnded checks that a context has ended with the error want.
func requireEnded(ctx context.Context, t *testing.T, want error) {
	t.Helper()
	if err := ctx.Err(); !errors.Is(err, want) {
		t.Errorf("got context error %v, want %v", err, want)
	}
	select {
	case <-ctx.Done():
	default:
		t.Error("Done of an ended context is not closed")
	}
}

func TestDeadlineContext_EndsWithoutWaiter(t *testing.T) {
	runInBubble(t, func(t *testing.T, _ context.CancelFunc, ctx *deadlineContext) {
		t.Helper()
		time.Sleep(time.Second)
		requireEnded(ctx, t, context.DeadlineExceeded)
	})
	runInBubble(t, func(t *testing.T, cancel context.CancelFunc, ctx *deadlineContext) {
		t.Helper()
		cancel()
		requireEnded(ctx, t, context.Canceled)
	})
	runInBubble(t, func(t *testing.T, _ context.CancelFunc, ctx *deadlineContext) {
		t.Helper()
		ctx.end()
		requireEnded(ctx, t, context.Canceled)
	})
}

func TestDeadlineContext_EndsWithWaiter(t *testing.T) {
	runInBubble(t, func(t *testing.T, _ context.CancelFunc, ctx *deadlineContext) {
		t.Helper()
		began := time.Now()
		<-ctx.Done()
		if elapsed := time.Since(began); elapsed != time.Second {
			t.Errorf("got the end of the context after %v, want 1s", elapsed)
		}
		requireEnded(ctx, t, context.DeadlineExceeded)
	})
	runInBubble(t, func(t *testing.T, cancel context.CancelFunc, ctx *deadlineContext) {
		t.Helper()
		done := ctx.Done()
		cancel()
		<-done
		requireEnded(ctx, t, context.Canceled)
	})
	runInBubble(t, func(t *testing.T, _ context.CancelFunc, ctx *deadlineContext) {
		t.Helper()
		done := ctx.Done()
		ctx.end()
		<-done
		requireEnded(ctx, t, context.Canceled)
	})
}

// TestDeadlineContext_EndsDerivedContexts checks a context derived through a value context,
// which looks up its parent with Value.
func TestDeadlineContext_EndsDerivedContexts(t *testing.T) {
	runInBubble(t, func(t *testing.T, _ context.CancelFunc, ctx *deadlineContext) {
		t.Helper()
		type key struct{}
		child, cancel := context.WithCancel(context.WithValue(ctx, key{}, "value"))
		defer cancel()
		if child.Value(key{}) != "value" || ctx.Value(key{}) != nil {
			t.Error("got a wrong value: want it in the child context only")
		}
		ctx.end()
		<-child.Done()
		requireEnded(child, t, context.Canceled)
	})
}

func TestDeadlineContext_UsesEarlierDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		parent, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for timeout, want := range map[time.Duration]time.Duration{time.Minute: time.Second, time.Millisecond: time.Millisecond} {
			ctx := withTimeout(parent, timeout)
			if deadline, ok := ctx.Deadline(); !ok || deadline.Sub(began) != want {
				t.Errorf("time-out of %v: got a deadline in %v, want %v", timeout, deadline.Sub(began), want)
			}
			ctx.end()
		}
	})
}

func TestDeadlineContext_MakesNoTimerWithoutWaiter(t *testing.T) {
	allocations := testing.AllocsPerRun(100, func() {
		ctx := withTimeout(t.Context(), time.Hour)
		if ctx.Err() != nil {
			t.Error("new context has already ended")
		}
		ctx.end()
	})
	if allocations > 1 {
		t.Errorf("got %v allocations, want at most 1", allocations)
	}
}

// TestFormatTimeout_RoundsUp guards against a header value of 0, which the server takes as
// no deadline.
func TestFormatTimeout_RoundsUp(t *testing.T) {
	for remaining, want := range map[time.Duration]string{
		-time.Second: "1", 0: "1", 1: "1", time.Millisecond: "1", time.Millisecond + 1: "2", time.Second: "1000",
	} {
		if got := formatTimeout(remaining); got != want {
			t.Errorf("remaining time %v: got %s, want %s", remaining, got, want)
		}
	}
}
