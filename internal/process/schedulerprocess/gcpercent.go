package schedulerprocess

import (
	"runtime/debug"

	"github.com/decklever/decklever/internal/replica"
)

// withGCPercent returns a function that sets the GC percentage while it runs lead; with
// percent 0 it returns lead itself. A leader serves most calls, and serving calls produces
// much garbage while little memory is live.
func withGCPercent(percent int, lead func(replica.Leadership)) func(replica.Leadership) {
	if percent == 0 {
		return lead
	}
	return func(leadership replica.Leadership) {
		before := debug.SetGCPercent(percent)
		defer debug.SetGCPercent(before)
		lead(leadership)
	}
}
