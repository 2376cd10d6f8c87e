package telemetry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Watch must report a change of readiness within half a second, but wake the process no more
// than twice a second.
func TestWatch_ChecksTwicePerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		checks := 0
		if err := NewHealth().Watch(ctx, func() { checks++ }); err != nil {
			t.Fatal(err)
		}
		if checks != 20 {
			t.Fatalf("got %d checks in 10 s, want 20", checks)
		}
	})
}
