package placement

import "github.com/decklever/decklever/internal/record"

// clock is the engine's idea of time: it reads none. The concerns share one clock,
// which only Plan and SetTime move.
type clock struct {
	// now is the cluster time as last set; it decides which windows are open and
	// which runs surely end before one opens.
	now record.Millis
	// pass counts calls of Plan.
	pass uint64
}
