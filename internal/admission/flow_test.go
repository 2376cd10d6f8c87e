package admission

import (
	"testing"
	"time"
)

// steady lets a flow start perSecond tasks a second from one time to another.
func steady(flow *Flow, from, to time.Duration, perSecond int) {
	pause := time.Second / time.Duration(perSecond)
	for now := from + pause; now <= to; now += pause {
		flow.Start(now)
		flow.Wait(now, -1)
	}
}

func TestExpectedWait(t *testing.T) {
	var flow Flow
	flow.Wait(0, 1000)
	if wait, known := flow.ExpectedWait(leastStretch - time.Millisecond); known {
		t.Errorf("known too early: %v", wait)
	}
	if wait, known := flow.ExpectedWait(leastStretch); known {
		t.Errorf("known though nothing started: %v", wait)
	}
	steady(&flow, 0, 4*time.Second, 50)
	if wait, known := flow.ExpectedWait(4 * time.Second); !known || wait != 16*time.Second {
		t.Errorf("800 wait, 50 start a second: %v, %v", wait, known)
	}
	if wait, known := flow.TimeFor(4*time.Second, 25); !known || wait != 500*time.Millisecond {
		t.Errorf("25 of them: %v, %v", wait, known)
	}
	steady(&flow, 4*time.Second, 12*time.Second, 20)
	if rate, known := flow.PerSecond(12 * time.Second); !known || rate < 19 || rate > 21 {
		t.Errorf("after the rate fell to 20 for longer than the window: %v, %v", rate, known)
	}
	if rate, known := flow.PerSecond(time.Minute); known {
		t.Errorf("after a pause longer than the window: %v", rate)
	}
}

// TestABreakBeginsAnew: what started while nothing waited says nothing.
func TestABreakBeginsAnew(t *testing.T) {
	var flow Flow
	flow.Wait(0, 10)
	steady(&flow, 0, time.Second, 10)
	if flow.Waiting() != 0 {
		t.Fatalf("%d wait", flow.Waiting())
	}
	if _, known := flow.PerSecond(2 * time.Second); known {
		t.Error("a rate is known though nothing waits")
	}
	flow.Wait(3*time.Second, 100)
	if _, known := flow.PerSecond(3*time.Second + leastStretch); known {
		t.Error("starts of the stretch before count")
	}
	steady(&flow, 3*time.Second, 5*time.Second, 40)
	if rate, known := flow.PerSecond(5 * time.Second); !known || rate != 40 {
		t.Errorf("the new stretch: %v, %v", rate, known)
	}
}

func TestGateHasHysteresis(t *testing.T) {
	const bound = 10 * time.Second
	gate := Gate{After: time.Second}
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
		gate.Look(step.at, step.wait, bound, step.known)
		if gate.Closed() != step.closed {
			t.Errorf("at %v: closed is %v", step.at, gate.Closed())
		}
	}
	var prompt Gate
	prompt.Look(0, bound+1, bound, true)
	if !prompt.Closed() {
		t.Error("one without a delay stays open")
	}
}
