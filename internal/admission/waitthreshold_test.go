package admission

import (
	"testing"
	"time"
)

func TestWaitThreshold_HasHysteresis(t *testing.T) {
	const limit = 10 * time.Second
	threshold := WaitThreshold{MinDuration: time.Second}
	steps := []struct {
		at, wait time.Duration
		known    bool
		exceeded bool
	}{
		{0, 11 * time.Second, true, false},
		{500 * time.Millisecond, 9 * time.Second, true, false}, // restarts the time above the limit
		{600 * time.Millisecond, 11 * time.Second, true, false},
		{1500 * time.Millisecond, 12 * time.Second, true, false},
		{1600 * time.Millisecond, 12 * time.Second, true, true},
		{2 * time.Second, 9 * time.Second, true, true}, // between ClearBelow(limit) and limit
		{3 * time.Second, 7900 * time.Millisecond, true, false},
		{4 * time.Second, 9 * time.Second, true, false}, // between ClearBelow(limit) and limit
		{5 * time.Second, 11 * time.Second, true, false},
		{6 * time.Second, 11 * time.Second, true, true},
		{7 * time.Second, 0, false, false},
	}
	for _, step := range steps {
		threshold.Observe(step.at, step.wait, limit, step.known)
		if threshold.Exceeded() != step.exceeded {
			t.Errorf("at %v: got exceeded %v, want %v", step.at, threshold.Exceeded(), step.exceeded)
		}
	}
	var immediate WaitThreshold
	immediate.Observe(0, limit+1, limit, true)
	if !immediate.Exceeded() {
		t.Error("with MinDuration 0, not exceeded at the first wait above the limit")
	}
}
