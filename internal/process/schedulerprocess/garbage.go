package schedulerprocess

import (
	"runtime/debug"

	"github.com/decklever/decklever/internal/replica"
)

// withGCPercent lets garbage be collected, while the process leads, when what was
// allocated anew is so many percent of what is in use; 0 changes nothing. Serving
// calls leaves much garbage and little in use, and a leader does most of it.
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
