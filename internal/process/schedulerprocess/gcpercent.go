package schedulerprocess

import (
	"runtime/debug"

	"github.com/decklever/decklever/internal/replica"
)

// withGCPercent sets the GC percentage while lead runs; 0 changes nothing. Serving calls
// leaves much garbage and little live memory, and a leader serves most of them.
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
