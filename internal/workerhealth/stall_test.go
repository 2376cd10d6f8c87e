package workerhealth

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func moving(percents ...int) Progress {
	p := Began(time.Hour)
	for i, percent := range percents {
		p.Report(percent, time.Hour+time.Duration(i)*time.Second)
	}
	return p
}

func TestQuietBound(t *testing.T) {
	cases := []struct {
		name     string
		progress Progress
		estimate time.Duration
		finely   bool
		stops    int
		want     time.Duration
	}{
		{"nothing known", Began(0), 0, false, 0, 0},
		{"at 0 without an estimate", moving(0), 0, true, 0, 0},
		{"no report, short", Began(0), time.Second, false, 0, leastMute},
		{"no report, long", Began(0), time.Minute, false, 0, 8 * time.Minute},
		{"no report, of a queue that reports in small steps", Began(0), time.Minute, true, 0, 90 * time.Second},
		{"the same, short", Began(0), time.Second, true, 0, leastQuiet},
		{"coarse", moving(0), time.Minute, false, 0, 90 * time.Second},
		{"fine by itself", moving(0, 1, 2, 3), time.Minute, false, 0, 15 * time.Second},
		{"fine by its queue", moving(0), time.Minute, true, 0, 15 * time.Second},
		{"short", moving(0), time.Second, true, 0, leastQuiet},
		{"all done", moving(97, 98, 99, 100), time.Minute, true, 0, 90 * time.Second},
		{"fine without an estimate", moving(0, 1, 2, 3), 0, false, 0, leastQuietUnknown},
		{"doubles", moving(0), time.Minute, true, 2, time.Minute},
		{"not for ever", moving(0), time.Minute, true, maxStops, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.progress.QuietBound(c.estimate, c.finely, c.stops); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestSilenceIsNoStandstill(t *testing.T) {
	p := moving(0)
	if p.StandsStill(p.MovedAt+leastQuiet-1, leastQuiet) {
		t.Error("stands still before its bound")
	}
	if !p.StandsStill(p.MovedAt+leastQuiet, leastQuiet) {
		t.Error("does not stand still at its bound")
	}
	if p.StandsStill(p.MovedAt+time.Hour, 0) {
		t.Error("one without a bound was not left alone")
	}
}

func TestRatio(t *testing.T) {
	p := moving(40, 42, 50)
	if got := p.Ratio(10 * time.Second); got != 2 {
		t.Errorf("10%% in 2 s of 10 s: %v", got)
	}
	if got := p.Ratio(0); got != 0 {
		t.Errorf("without an estimate: %v", got)
	}
	few := moving(0, 4)
	if got := few.Ratio(time.Second); got != 0 {
		t.Errorf("too early to tell: %v", got)
	}
}

// TestHonestWorkIsNotStopped: a run that reports each percent, up to ten times
// slower than its estimate, is never taken as standing still.
func TestHonestWorkIsNotStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := time.Duration(rapid.IntRange(100, 3_600_000).Draw(t, "estimate ms")) * time.Millisecond
		slowness := rapid.IntRange(1, 10).Draw(t, "slowness")
		interval := time.Duration(rapid.IntRange(20, 1000).Draw(t, "heartbeat ms")) * time.Millisecond
		whole := estimate * time.Duration(slowness)
		step := max(interval, whole/200)
		p := Began(0)
		for now := time.Duration(0); now < whole; now += step {
			p.Report(int(now*100/whole), now)
			bound := p.QuietBound(estimate, true, 0)
			if p.StandsStill(now, bound) {
				t.Fatalf("at %v of %v, %d%%, bound %v", now, whole, p.Percent, bound)
			}
		}
	})
}

// TestStandstillIsFound: a run that stops moving at any percent is found within
// its bound, and the task is stopped a few times only.
func TestStandstillIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := time.Duration(rapid.IntRange(100, 600_000).Draw(t, "estimate ms")) * time.Millisecond
		last := rapid.IntRange(0, 99).Draw(t, "last percent")
		p := Began(0)
		p.Report(last, time.Second)
		stops := 0
		for {
			bound := p.QuietBound(estimate, true, stops)
			if bound == 0 {
				break
			}
			if p.StandsStill(p.MovedAt+bound-1, bound) || !p.StandsStill(p.MovedAt+bound, bound) {
				t.Fatalf("stop %d: bound %v", stops, bound)
			}
			stops++
		}
		if stops != maxStops {
			t.Fatalf("%d stops", stops)
		}
	})
}
