package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestArchiveCopier_AcquireReturnsWhenContextEnds guards against a copy that waits forever
// while another copy hangs on a process that does not answer. The wait is on a channel, so
// that time passes during it under testing/synctest.
func TestArchiveCopier_AcquireReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copier := newArchiveCopier(nil, nil, nil, nil)
		if err := copier.acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt := time.Now()
		if err := copier.acquire(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(startedAt) != time.Second {
			t.Errorf("acquire returned after %v with error %v, want 1 s and the deadline error", time.Since(startedAt), err)
		}
		copier.release()
		if err := copier.acquire(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
