package run

import (
	"context"
	"time"
)

const (
	// rolloutInterval is the time between two reads of the rollout.
	rolloutInterval = 500 * time.Millisecond
	rolloutTimeout  = 3 * time.Second
)

// watchRollout records which process has which configuration in force, until the
// context ends.
func (t *activeRun) watchRollout(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			limited, cancel := context.WithTimeout(ctx, rolloutTimeout)
			_, _ = t.operatorClient.Rollout(limited) // the call log has the failure
			cancel()
		}
	}
}
