// Package contexttime lets time pass under a context. It has no state.
package contexttime

import (
	"context"
	"time"
)

// Sleep waits for a length of time, or until ctx ends if that is earlier. It reports
// whether the whole length passed. A length of 0 or less passes at once.
func Sleep(ctx context.Context, length time.Duration) (passed bool) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
