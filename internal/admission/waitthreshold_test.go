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
		{500 * time.Millisecond, 9 * time.Second, true, false}, // the time above the limit starts anew
		{600 * time.Millisecond, 11 * time.Second, true, false},
		{1500 * time.Millisecond, 12 * time.Second, true, false},
		{1600 * time.Millisecond, 12 * time.Second, true, true},
		{2 * time.Second, 9 * time.Second, true, true}, // between both bounds
		{3 * time.Second, 7900 * time.Millisecond, true, false},
		{4 * time.Second, 9 * time.Second, true, false}, // between both bounds
		{5 * time.Second, 11 * time.Second, true, false},
		{6 * time.Second, 11 * time.Second, true, true},
		{7 * time.Second, 0, false, false},
	}
	for _, step := range steps {
		threshold.Observe(step.at, step.wait, limit, step.known)
		if threshold.Exceeded() != step.exceeded {
			t.Errorf("at %v: exceeded is %v, want %v", step.at, threshold.Exceeded(), step.exceeded)
		}
	}
	var immediate WaitThreshold
	immediate.Observe(0, limit+1, limit, true)
	if !immediate.Exceeded() {
		t.Error("not exceeded at once without a MinDuration")
	}
}
