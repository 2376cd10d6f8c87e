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
		t.Errorf("got value %d, want 5", got)
	}
}

func TestWatermark_Wait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w watermark
		stopped := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		reached, canceled, stop := make(chan error, 1), make(chan error, 1), make(chan error, 1)
		go func() { reached <- w.wait(t.Context(), stopped, 2) }()
		go func() { canceled <- w.wait(ctx, stopped, 3) }()
		go func() { stop <- w.wait(t.Context(), stopped, 3) }()
		w.advance(1)
		synctest.Wait()
		if len(reached) != 0 {
			t.Error("wait for 2 returned at value 1")
		}
		w.advance(2)
		if err := <-reached; err != nil {
			t.Errorf("wait for a reached value: got %v, want nil", err)
		}
		cancel()
		if err := <-canceled; !errors.Is(err, context.Canceled) {
			t.Errorf("wait with a canceled context: got %v, want context.Canceled", err)
		}
		close(stopped)
		if err := <-stop; !errors.Is(err, ErrStopped) {
			t.Errorf("wait after stopped was closed: got %v, want ErrStopped", err)
		}
	})
}
