package replica

import (
	"testing"
	"time"
)

func TestLoopTicker_DueOncePerInterval(t *testing.T) {
	const interval = 10 * time.Millisecond
	ticker := loopTicker{interval: interval}
	steps := []struct {
		now time.Duration
		due bool
	}{
		{interval - 1, false},
		{interval, true},
		{2*interval - 1, false},
		{5 * interval, true}, // after the process was frozen: one tick, not four
		{5*interval + 1, false},
	}
	for _, step := range steps {
		if got := ticker.due(step.now); got != step.due {
			t.Errorf("due(%v): got %v, want %v", step.now, got, step.due)
		}
	}
}
