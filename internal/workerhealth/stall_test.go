package workerhealth

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newReportedProgress returns the progress of a run that reports the given percents, one
// per second.
func newReportedProgress(percents ...int) Progress {
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
		// fineGrained is whether the runs of the queue report in small increments.
		fineGrained  bool
		earlierStops int
		want         time.Duration
	}{
		{"nothing known", NewProgress(0), 0, false, 0, 0},
		{"one report, no estimate, fine-grained queue", newReportedProgress(0), 0, true, 0, 0},
		{"no report, short estimate", NewProgress(0), time.Second, false, 0, minUnreportedTimeout},
		{"no report, long estimate", NewProgress(0), time.Minute, false, 0, 8 * time.Minute},
		{"no report, fine-grained queue", NewProgress(0), time.Minute, true, 0, 90 * time.Second},
		{"no report, fine-grained queue, short estimate", NewProgress(0), time.Second, true, 0, minStallTimeout},
		{"coarse-grained reports", newReportedProgress(0), time.Minute, false, 0, 90 * time.Second},
		{"fine-grained run", newReportedProgress(0, 1, 2, 3), time.Minute, false, 0, 15 * time.Second},
		{"fine-grained queue", newReportedProgress(0), time.Minute, true, 0, 15 * time.Second},
		{"fine-grained queue, short estimate", newReportedProgress(0), time.Second, true, 0, minStallTimeout},
		{"complete but not ended", newReportedProgress(97, 98, 99, 100), time.Minute, true, 0, 90 * time.Second},
		{"fine-grained run without an estimate", newReportedProgress(0, 1, 2, 3), 0, false, 0, minTimeoutWithoutEstimate},
		{"doubles with each stop", newReportedProgress(0), time.Minute, true, 2, time.Minute},
		{"no timeout after the last stop", newReportedProgress(0), time.Minute, true, maxStallStops, 0},
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
	p := newReportedProgress(0)
	if p.IsStalled(p.AdvancedAt+minStallTimeout-1, minStallTimeout) {
		t.Error("IsStalled just before the timeout: got true, want false")
	}
	if !p.IsStalled(p.AdvancedAt+minStallTimeout, minStallTimeout) {
		t.Error("IsStalled at the timeout: got false, want true")
	}
	if p.IsStalled(p.AdvancedAt+time.Hour, 0) {
		t.Error("IsStalled with a timeout of 0: got true, want false")
	}
}

func TestProgress_DurationRatio(t *testing.T) {
	p := newReportedProgress(40, 42, 50)
	if got := p.DurationRatio(10 * time.Second); got != 2 {
		t.Errorf("DurationRatio after 10%% in 2 s at an estimate of 10 s: got %v, want 2", got)
	}
	if got := p.DurationRatio(0); got != 0 {
		t.Errorf("DurationRatio without an estimate: got %v, want 0", got)
	}
	few := newReportedProgress(0, 4)
	if got := few.DurationRatio(time.Second); got != 0 {
		t.Errorf("DurationRatio after 4%%, below minMeasuredPercent: got %v, want 0", got)
	}
}

// TestProgress_SlowReportingRunIsNeverStalled checks that a run that reports each percent
// never counts as stalled, even if it takes up to ten times its estimate.
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
				t.Fatalf("stalled at %v of %v, at %d%%, with timeout %v, want never stalled", now, total, p.Percent, timeout)
			}
		}
	})
}

// TestProgress_StoppedRunIsStalledAtTimeout checks that a run that stops advancing at any
// percent counts as stalled exactly at its timeout, but only until runs of its task were
// stopped maxStallStops times.
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
				t.Fatalf("after %d stops: not stalled exactly at the timeout %v", earlierStops, timeout)
			}
			earlierStops++
		}
		if earlierStops != maxStallStops {
			t.Fatalf("got a timeout of 0 after %d stops, want after maxStallStops", earlierStops)
		}
	})
}
