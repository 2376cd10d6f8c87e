package rpc

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// runInBubble runs a test with a context that ends after a second, in a bubble.
func runInBubble(t *testing.T, run func(t *testing.T, parent context.CancelFunc, ctx *deadlineContext)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		parent, cancel := context.WithCancel(t.Context())
		defer cancel()
		ctx := withTimeout(parent, time.Second)
		defer ctx.end()
		if ctx.Err() != nil {
			t.Fatal("ended at once")
		}
		run(t, cancel, ctx)
	})
}

// requireEnded checks that a context has ended with an error.
func requireEnded(ctx context.Context, t *testing.T, want error) {
	t.Helper()
	if err := ctx.Err(); !errors.Is(err, want) {
		t.Errorf("ended with %v, want %v", err, want)
	}
	select {
	case <-ctx.Done():
	default:
		t.Error("Done of an ended context blocks")
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
		if took := time.Since(began); took != time.Second {
			t.Errorf("ended after %v", took)
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

// TestDeadlineContext_EndsDerivedContexts: also those that ask it for values.
func TestDeadlineContext_EndsDerivedContexts(t *testing.T) {
	runInBubble(t, func(t *testing.T, _ context.CancelFunc, ctx *deadlineContext) {
		t.Helper()
		type key struct{}
		child, cancel := context.WithCancel(context.WithValue(ctx, key{}, "value"))
		defer cancel()
		if child.Value(key{}) != "value" || ctx.Value(key{}) != nil {
			t.Error("values are mixed up")
		}
		ctx.end()
		<-child.Done()
		requireEnded(child, t, context.Canceled)
	})
}

func TestDeadlineContext_KeepsNearerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		parent, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for timeout, want := range map[time.Duration]time.Duration{time.Minute: time.Second, time.Millisecond: time.Millisecond} {
			ctx := withTimeout(parent, timeout)
			if deadline, ok := ctx.Deadline(); !ok || deadline.Sub(began) != want {
				t.Errorf("after %v the deadline is %v from now, want %v", timeout, deadline.Sub(began), want)
			}
			ctx.end()
		}
	})
}

func TestDeadlineContext_MakesNoTimerWithoutWaiter(t *testing.T) {
	allocations := testing.AllocsPerRun(100, func() {
		ctx := withTimeout(t.Context(), time.Hour)
		if ctx.Err() != nil {
			t.Error("ended at once")
		}
		ctx.end()
	})
	if allocations > 1 {
		t.Errorf("%v allocations, want 1 at most", allocations)
	}
}

// TestFormatTimeout_RoundsUp: a call with any time left must not say 0, which means that
// it has no deadline.
func TestFormatTimeout_RoundsUp(t *testing.T) {
	for left, want := range map[time.Duration]string{
		-time.Second: "1", 0: "1", 1: "1", time.Millisecond: "1", time.Millisecond + 1: "2", time.Second: "1000",
	} {
		if got := formatTimeout(left); got != want {
			t.Errorf("%v left: %s, want %s", left, got, want)
		}
	}
}
