package schedulerprocess

import (
	"runtime/debug"
	"testing"

	"github.com/decklever/decklever/internal/replica"
)

// currentGCPercent returns the GC percentage. To read it, it briefly sets it to 100.
func currentGCPercent() int {
	percent := debug.SetGCPercent(100)
	debug.SetGCPercent(percent)
	return percent
}

func TestWithGCPercent_AppliesOnlyWhileLeading(t *testing.T) {
	before := currentGCPercent()
	for percent, want := range map[int]int{0: before, 250: 250} {
		led := 0
		lead := withGCPercent(percent, func(replica.Leadership) {
			led++
			if got := currentGCPercent(); got != want {
				t.Errorf("percent %d: got GC percentage %d while leading, want %d", percent, got, want)
			}
		})
		for range 2 {
			lead(replica.Leadership{})
			if got := currentGCPercent(); got != before {
				t.Errorf("percent %d: got GC percentage %d after leading, want %d", percent, got, before)
			}
		}
		if led != 2 {
			t.Errorf("percent %d: got %d calls of lead, want 2", percent, led)
		}
	}
}
