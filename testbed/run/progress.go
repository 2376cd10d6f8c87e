package run

import (
	"context"
	"fmt"
	"time"
)

const progressInterval = 5 * time.Second

// reportProgress writes a line every 5 s until the context ends.
func (t *activeRun) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			counts := t.callers.Counts()
			starts, ends := t.events.Counts()
			t.progress("%3.0fs: jobs %d submitted, %d accepted, %d ended; runs %d started, %d ended",
				time.Since(began).Seconds(), counts.Submitted, counts.Accepted, counts.Ended, starts, ends)
		}
	}
}

// progress writes one line; a failure to write does not concern the run.
func (t *activeRun) progress(format string, values ...any) {
	if t.config.Progress != nil {
		_, _ = fmt.Fprintf(t.config.Progress, format+"\n", values...)
	}
}
