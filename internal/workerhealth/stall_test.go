package workerhealth

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newMovingProgress returns the progress of a run that reports a percent each second.
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
		// fineGrained is what is known of the queue.
		fineGrained  bool
		earlierStops int
		want         time.Duration
	}{
		{"nothing known", NewProgress(0), 0, false, 0, 0},
		{"at 0 without an estimate", newMovingProgress(0), 0, true, 0, 0},
		{"no report, short", NewProgress(0), time.Second, false, 0, minUnreportedTimeout},
		{"no report, long", NewProgress(0), time.Minute, false, 0, 8 * time.Minute},
		{"no report, fine-grained queue", NewProgress(0), time.Minute, true, 0, 90 * time.Second},
		{"no report, fine-grained queue, short", NewProgress(0), time.Second, true, 0, minStallTimeout},
		{"coarse", newMovingProgress(0), time.Minute, false, 0, 90 * time.Second},
		{"fine-grained run", newMovingProgress(0, 1, 2, 3), time.Minute, false, 0, 15 * time.Second},
		{"fine-grained queue", newMovingProgress(0), time.Minute, true, 0, 15 * time.Second},
		{"short", newMovingProgress(0), time.Second, true, 0, minStallTimeout},
		{"complete but not ended", newMovingProgress(97, 98, 99, 100), time.Minute, true, 0, 90 * time.Second},
		{"fine-grained run without an estimate", newMovingProgress(0, 1, 2, 3), 0, false, 0, minTimeoutWithoutEstimate},
		{"doubles with each stop", newMovingProgress(0), time.Minute, true, 2, time.Minute},
		{"no timeout after the last stop", newMovingProgress(0), time.Minute, true, maxStallStops, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.progress.StallTimeout(c.estimate, c.fineGrained, c.earlierStops); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestProgress_IsStalledOnlyAtTimeout(t *testing.T) {
	p := newMovingProgress(0)
	if p.IsStalled(p.AdvancedAt+minStallTimeout-1, minStallTimeout) {
		t.Error("stalled before its timeout")
	}
	if !p.IsStalled(p.AdvancedAt+minStallTimeout, minStallTimeout) {
		t.Error("not stalled at its timeout")
	}
	if p.IsStalled(p.AdvancedAt+time.Hour, 0) {
		t.Error("stalled without a timeout")
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

// TestProgress_SlowReportingRunIsNeverStalled: a run that reports each percent never
// counts as stalled, up to ten times slower than its estimate.
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
			timeout := p.StallTimeout(estimate, true, 0)
			if p.IsStalled(now, timeout) {
				t.Fatalf("at %v of %v, %d%%, timeout %v", now, total, p.Percent, timeout)
			}
		}
	})
}

// TestProgress_StoppedRunIsStalledAtTimeout: a run that stops advancing at any percent
// counts as stalled at its timeout, for the first maxStallStops runs of its task only.
func TestProgress_StoppedRunIsStalledAtTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := time.Duration(rapid.IntRange(100, 600_000).Draw(t, "estimate ms")) * time.Millisecond
		last := rapid.IntRange(0, 99).Draw(t, "last percent")
		p := NewProgress(0)
		p.Observe(last, time.Second)
		earlierStops := 0
		for {
			timeout := p.StallTimeout(estimate, true, earlierStops)
			if timeout == 0 {
				break
			}
			if p.IsStalled(p.AdvancedAt+timeout-1, timeout) || !p.IsStalled(p.AdvancedAt+timeout, timeout) {
				t.Fatalf("stop %d: timeout %v", earlierStops, timeout)
			}
			earlierStops++
		}
		if earlierStops != maxStallStops {
			t.Fatalf("%d stops", earlierStops)
		}
	})
}
