package workerhealth

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newMovingProgress(percents ...int) Progress {
	p := NewProgress(time.Hour)
	for i, percent := range percents {
		p.Observe(percent, time.Hour+time.Duration(i)*time.Second)
	}
	return p
}

func TestProgress_StallTimeout(t *testing.T) {
	cases := []struct {
		name     string
		progress Progress
		estimate time.Duration
		finely   bool
		stops    int
		want     time.Duration
	}{
		{"nothing known", NewProgress(0), 0, false, 0, 0},
		{"at 0 without an estimate", newMovingProgress(0), 0, true, 0, 0},
		{"no report, short", NewProgress(0), time.Second, false, 0, minUnreportedTimeout},
		{"no report, long", NewProgress(0), time.Minute, false, 0, 8 * time.Minute},
		{"no report, of a queue that reports in small steps", NewProgress(0), time.Minute, true, 0, 90 * time.Second},
		{"the same, short", NewProgress(0), time.Second, true, 0, minStallTimeout},
		{"coarse", newMovingProgress(0), time.Minute, false, 0, 90 * time.Second},
		{"fine by itself", newMovingProgress(0, 1, 2, 3), time.Minute, false, 0, 15 * time.Second},
		{"fine by its queue", newMovingProgress(0), time.Minute, true, 0, 15 * time.Second},
		{"short", newMovingProgress(0), time.Second, true, 0, minStallTimeout},
		{"all done", newMovingProgress(97, 98, 99, 100), time.Minute, true, 0, 90 * time.Second},
		{"fine without an estimate", newMovingProgress(0, 1, 2, 3), 0, false, 0, minTimeoutWithoutEstimate},
		{"doubles", newMovingProgress(0), time.Minute, true, 2, time.Minute},
		{"not for ever", newMovingProgress(0), time.Minute, true, maxStallStops, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.progress.StallTimeout(c.estimate, c.finely, c.stops); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestProgress_IsStalledOnlyAtTimeout(t *testing.T) {
	p := newMovingProgress(0)
	if p.IsStalled(p.AdvancedAt+minStallTimeout-1, minStallTimeout) {
		t.Error("stands still before its bound")
	}
	if !p.IsStalled(p.AdvancedAt+minStallTimeout, minStallTimeout) {
		t.Error("does not stand still at its bound")
	}
	if p.IsStalled(p.AdvancedAt+time.Hour, 0) {
		t.Error("one without a bound was not left alone")
	}
}

func TestProgress_DurationRatio(t *testing.T) {
	p := newMovingProgress(40, 42, 50)
	if got := p.DurationRatio(10 * time.Second); got != 2 {
		t.Errorf("10%% in 2 s of 10 s: %v", got)
	}
	if got := p.DurationRatio(0); got != 0 {
		t.Errorf("without an estimate: %v", got)
	}
	few := newMovingProgress(0, 4)
	if got := few.DurationRatio(time.Second); got != 0 {
		t.Errorf("too early to tell: %v", got)
	}
}

// TestProgress_SlowReportingRunIsNeverStalled: a run that reports each percent, up to ten times
// slower than its estimate, is never taken as standing still.
func TestProgress_SlowReportingRunIsNeverStalled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := time.Duration(rapid.IntRange(100, 3_600_000).Draw(t, "estimate ms")) * time.Millisecond
		slowness := rapid.IntRange(1, 10).Draw(t, "slowness")
		interval := time.Duration(rapid.IntRange(20, 1000).Draw(t, "heartbeat ms")) * time.Millisecond
		total := estimate * time.Duration(slowness)
		step := max(interval, total/200)
		p := NewProgress(0)
		for now := time.Duration(0); now < total; now += step {
			p.Observe(int(now*100/total), now)
			bound := p.StallTimeout(estimate, true, 0)
			if p.IsStalled(now, bound) {
				t.Fatalf("at %v of %v, %d%%, bound %v", now, total, p.Percent, bound)
			}
		}
	})
}

// TestProgress_StoppedRunIsStalledAtTimeout: a run that stops moving at any percent is found within
// its bound, and the task is stopped a few times only.
func TestProgress_StoppedRunIsStalledAtTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := time.Duration(rapid.IntRange(100, 600_000).Draw(t, "estimate ms")) * time.Millisecond
		last := rapid.IntRange(0, 99).Draw(t, "last percent")
		p := NewProgress(0)
		p.Observe(last, time.Second)
		earlierStops := 0
		for {
			bound := p.StallTimeout(estimate, true, earlierStops)
			if bound == 0 {
				break
			}
			if p.IsStalled(p.AdvancedAt+bound-1, bound) || !p.IsStalled(p.AdvancedAt+bound, bound) {
				t.Fatalf("stop %d: bound %v", earlierStops, bound)
			}
			earlierStops++
		}
		if earlierStops != maxStallStops {
			t.Fatalf("%d stops", earlierStops)
		}
	})
}
