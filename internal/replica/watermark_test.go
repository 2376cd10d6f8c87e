package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
)

func TestWatermark_OnlyGrows(t *testing.T) {
	var w watermark
	w.advance(5)
	w.advance(3)
	if got := w.load(); got != 5 {
		t.Errorf("value %d, want 5", got)
	}
}

func TestWatermark_Wait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w watermark
		stopped := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		reached, ended, stop := make(chan error, 1), make(chan error, 1), make(chan error, 1)
		go func() { reached <- w.wait(t.Context(), stopped, 2) }()
		go func() { ended <- w.wait(ctx, stopped, 3) }()
		go func() { stop <- w.wait(t.Context(), stopped, 3) }()
		w.advance(1)
		synctest.Wait()
		if len(reached) != 0 {
			t.Error("the wait for 2 ended at 1")
		}
		w.advance(2)
		if err := <-reached; err != nil {
			t.Errorf("reached: %v", err)
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("context ended: %v", err)
		}
		close(stopped)
		if err := <-stop; !errors.Is(err, ErrStopped) {
			t.Errorf("stopped: %v", err)
		}
	})
}
