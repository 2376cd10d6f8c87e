// Package contexttime has the one wait that ends early with a context.
package contexttime

import (
	"context"
	"time"
)

// Sleep waits, and reports whether the whole length passed: false means that the
// context ended before.
func Sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
