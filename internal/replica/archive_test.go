package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestArchiveCopier_WaitEndsWithContext: a page may be in flight from a process that does
// not answer, and the next copy waits for its end. It waits on a channel, so that time
// passes meanwhile under testing/synctest.
func TestArchiveCopier_WaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copier := newArchiveCopier(nil, nil, nil, nil)
		if err := copier.acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if err := copier.acquire(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("gave up after %v with %v", time.Since(began), err)
		}
		copier.release()
		if err := copier.acquire(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
