package admission

import (
	"testing"
	"time"
)

// startSteadily lets a flow start perSecond tasks a second from one time to another.
func startSteadily(flow *StartRate, from, to time.Duration, perSecond int) {
	pause := time.Second / time.Duration(perSecond)
	for now := from + pause; now <= to; now += pause {
		flow.RecordStart(now)
		flow.AddWaiting(now, -1)
	}
}

func TestStartRate_ExpectedWait(t *testing.T) {
	var flow StartRate
	flow.AddWaiting(0, 1000)
	if wait, known := flow.ExpectedWait(minObservation - time.Millisecond); known {
		t.Errorf("known too early: %v", wait)
	}
	if wait, known := flow.ExpectedWait(minObservation); known {
		t.Errorf("known though nothing started: %v", wait)
	}
	startSteadily(&flow, 0, 4*time.Second, 50)
	if wait, known := flow.ExpectedWait(4 * time.Second); !known || wait != 16*time.Second {
		t.Errorf("800 wait, 50 start a second: %v, %v", wait, known)
	}
	if wait, known := flow.TimeToStart(4*time.Second, 25); !known || wait != 500*time.Millisecond {
		t.Errorf("25 of them: %v, %v", wait, known)
	}
	startSteadily(&flow, 4*time.Second, 12*time.Second, 20)
	if rate, known := flow.PerSecond(12 * time.Second); !known || rate < 19 || rate > 21 {
		t.Errorf("after the rate fell to 20 for longer than the window: %v, %v", rate, known)
	}
	if rate, known := flow.PerSecond(time.Minute); known {
		t.Errorf("after a pause longer than the window: %v", rate)
	}
}

// TestStartRate_EmptyBacklogRestartsMeasurement: what started while nothing waited says nothing.
func TestStartRate_EmptyBacklogRestartsMeasurement(t *testing.T) {
	var flow StartRate
	flow.AddWaiting(0, 10)
	startSteadily(&flow, 0, time.Second, 10)
	if flow.Waiting() != 0 {
		t.Fatalf("%d wait", flow.Waiting())
	}
	if _, known := flow.PerSecond(2 * time.Second); known {
		t.Error("a rate is known though nothing waits")
	}
	flow.AddWaiting(3*time.Second, 100)
	if _, known := flow.PerSecond(3*time.Second + minObservation); known {
		t.Error("starts of the stretch before count")
	}
	startSteadily(&flow, 3*time.Second, 5*time.Second, 40)
	if rate, known := flow.PerSecond(5 * time.Second); !known || rate != 40 {
		t.Errorf("the new stretch: %v, %v", rate, known)
	}
}

func TestWaitThreshold_HasHysteresis(t *testing.T) {
	const limit = 10 * time.Second
	gate := WaitThreshold{MinDuration: time.Second}
	steps := []struct {
		at, wait time.Duration
		known    bool
		closed   bool
	}{
		{0, 11 * time.Second, true, false},
		{500 * time.Millisecond, 9 * time.Second, true, false}, // a break
		{600 * time.Millisecond, 11 * time.Second, true, false},
		{1500 * time.Millisecond, 12 * time.Second, true, false},
		{1600 * time.Millisecond, 12 * time.Second, true, true},
		{2 * time.Second, 9 * time.Second, true, true}, // in between
		{3 * time.Second, 7900 * time.Millisecond, true, false},
		{4 * time.Second, 9 * time.Second, true, false}, // in between
		{5 * time.Second, 11 * time.Second, true, false},
		{6 * time.Second, 11 * time.Second, true, true},
		{7 * time.Second, 0, false, false},
	}
	for _, step := range steps {
		gate.Observe(step.at, step.wait, limit, step.known)
		if gate.Exceeded() != step.closed {
			t.Errorf("at %v: closed is %v", step.at, gate.Exceeded())
		}
	}
	var prompt WaitThreshold
	prompt.Observe(0, limit+1, limit, true)
	if !prompt.Exceeded() {
		t.Error("one without a delay stays open")
	}
}
