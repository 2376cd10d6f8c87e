package admission

import (
	"testing"
	"time"
)

// startSteadily has perSecond waiting tasks a second start between two times.
func startSteadily(starts *StartRate, from, to time.Duration, perSecond int) {
	interval := time.Second / time.Duration(perSecond)
	for now := from + interval; now <= to; now += interval {
		starts.RecordStart(now)
		starts.AddWaiting(now, -1)
	}
}

func TestStartRate_ExpectedWait(t *testing.T) {
	var starts StartRate
	starts.AddWaiting(0, 1000)
	if wait, known := starts.ExpectedWait(minObservation - time.Millisecond); known {
		t.Errorf("known too early: %v", wait)
	}
	if wait, known := starts.ExpectedWait(minObservation); known {
		t.Errorf("known though nothing started: %v", wait)
	}
	startSteadily(&starts, 0, 4*time.Second, 50)
	if wait, known := starts.ExpectedWait(4 * time.Second); !known || wait != 16*time.Second {
		t.Errorf("800 wait, 50 start a second: %v, %v", wait, known)
	}
	if wait, known := starts.TimeToStart(4*time.Second, 25); !known || wait != 500*time.Millisecond {
		t.Errorf("25 of them: %v, %v", wait, known)
	}
	startSteadily(&starts, 4*time.Second, 12*time.Second, 20)
	if rate, known := starts.PerSecond(12 * time.Second); !known || rate < 19 || rate > 21 {
		t.Errorf("after the rate fell to 20 for longer than the window: %v, %v", rate, known)
	}
	if rate, known := starts.PerSecond(time.Minute); known {
		t.Errorf("after a pause longer than the window: %v", rate)
	}
}

// TestStartRate_EmptyBacklogRestartsMeasurement: starts before the backlog was empty do
// not count in the next one.
func TestStartRate_EmptyBacklogRestartsMeasurement(t *testing.T) {
	var starts StartRate
	starts.AddWaiting(0, 10)
	startSteadily(&starts, 0, time.Second, 10)
	if starts.Waiting() != 0 {
		t.Fatalf("%d wait", starts.Waiting())
	}
	if _, known := starts.PerSecond(2 * time.Second); known {
		t.Error("a rate is known though nothing waits")
	}
	starts.AddWaiting(3*time.Second, 100)
	if _, known := starts.PerSecond(3*time.Second + minObservation); known {
		t.Error("starts of the previous backlog count")
	}
	startSteadily(&starts, 3*time.Second, 5*time.Second, 40)
	if rate, known := starts.PerSecond(5 * time.Second); !known || rate != 40 {
		t.Errorf("the new backlog: %v, %v, want 40", rate, known)
	}
}
