package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestArchiveCopier_WaitEndsWithContext: a page may be on its way from a process
// that does not answer, and the next copy waits for that one's end. It waits as others
// wait, too, so that time goes on in a test on a virtual clock.
func TestArchiveCopier_WaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copying := newArchiveCopier()
		if err := copying.acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if err := copying.acquire(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("gave up after %v with %v", time.Since(began), err)
		}
		copying.release()
		if err := copying.acquire(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
