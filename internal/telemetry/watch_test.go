package telemetry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestWatchWakesSeldom: readiness follows within half a second, at two wake-ups
// a second.
func TestWatchWakesSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		checks := 0
		if err := NewHealth().Watch(ctx, func() { checks++ }); err != nil {
			t.Fatal(err)
		}
		if checks != 20 {
			t.Fatalf("%d checks in 10 s, want 20", checks)
		}
	})
}
