package run

import (
	"context"
	"time"
)

const (
	// rolloutInterval is the interval between reads of the rollout; rolloutTimeout
	// bounds each read.
	rolloutInterval = 500 * time.Millisecond
	rolloutTimeout  = 3 * time.Second
)

// watchRollout records periodically which configuration each process has in force, until
// the context ends.
func (r *activeRun) watchRollout(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			callCtx, cancel := context.WithTimeout(ctx, rolloutTimeout)
			_, _ = r.operatorClient.Rollout(callCtx) // an error is recorded in the call log
			cancel()
		}
	}
}
