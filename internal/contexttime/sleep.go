// Package contexttime provides a sleep that ends early if its context ends. It has no state.
package contexttime

import (
	"context"
	"time"
)

// Sleep waits for duration, or until ctx ends if that is earlier. It reports whether the
// complete duration elapsed. A duration of 0 or less elapses at once.
func Sleep(ctx context.Context, duration time.Duration) (completed bool) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
