package admission

import (
	"testing"
	"time"
)

// recordSteadyStarts records perSecond starts of waiting tasks in each second between two
// times, at equal intervals.
func recordSteadyStarts(starts *StartRate, from, to time.Duration, perSecond int) {
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
		t.Errorf("ExpectedWait before minObservation: got %v, want unknown", wait)
	}
	if wait, known := starts.ExpectedWait(minObservation); known {
		t.Errorf("ExpectedWait before any start: got %v, want unknown", wait)
	}
	recordSteadyStarts(&starts, 0, 4*time.Second, 50)
	if wait, known := starts.ExpectedWait(4 * time.Second); !known || wait != 16*time.Second {
		t.Errorf("ExpectedWait with 800 waiting and 50 starts per second: got %v, %v, want 16s, true", wait, known)
	}
	if wait, known := starts.TimeToStart(4*time.Second, 25); !known || wait != 500*time.Millisecond {
		t.Errorf("TimeToStart of 25 tasks at 50 starts per second: got %v, %v, want 500ms, true", wait, known)
	}
	recordSteadyStarts(&starts, 4*time.Second, 12*time.Second, 20)
	if rate, known := starts.PerSecond(12 * time.Second); !known || rate < 19 || rate > 21 {
		t.Errorf("PerSecond after more than one window at 20 starts per second: got %v, %v, want 19 to 21, true", rate, known)
	}
	if rate, known := starts.PerSecond(time.Minute); known {
		t.Errorf("PerSecond after a pause longer than the window: got %v, want unknown", rate)
	}
}

// TestStartRate_EmptyBacklogRestartsMeasurement checks that the starts of one backlog are
// not counted in the rate of the next one.
func TestStartRate_EmptyBacklogRestartsMeasurement(t *testing.T) {
	var starts StartRate
	starts.AddWaiting(0, 10)
	recordSteadyStarts(&starts, 0, time.Second, 10)
	if starts.Waiting() != 0 {
		t.Fatalf("got %d waiting tasks, want 0", starts.Waiting())
	}
	if _, known := starts.PerSecond(2 * time.Second); known {
		t.Error("PerSecond without a backlog: got a known rate, want none")
	}
	starts.AddWaiting(3*time.Second, 100)
	if _, known := starts.PerSecond(3*time.Second + minObservation); known {
		t.Error("PerSecond counts starts of the previous backlog")
	}
	recordSteadyStarts(&starts, 3*time.Second, 5*time.Second, 40)
	if rate, known := starts.PerSecond(5 * time.Second); !known || rate != 40 {
		t.Errorf("PerSecond of the new backlog: got %v, %v, want 40, true", rate, known)
	}
}
