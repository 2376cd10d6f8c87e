package run

import (
	"context"
	"fmt"
	"time"
)

const progressInterval = 5 * time.Second

// reportProgress writes a progress line every 5 s until the context ends.
func (r *activeRun) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			counts := r.generator.Counts()
			starts, ends := r.events.Counts()
			r.progress("%3.0fs: jobs %d submitted, %d accepted, %d ended; runs %d started, %d ended",
				time.Since(began).Seconds(), counts.Submitted, counts.Accepted, counts.Ended, starts, ends)
		}
	}
}

// progress writes one line to Config.Progress. Write errors are ignored because they do
// not affect the run.
func (r *activeRun) progress(format string, values ...any) {
	if r.config.Progress != nil {
		_, _ = fmt.Fprintf(r.config.Progress, format+"\n", values...)
	}
}
