package slo

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
)

// flowing is a tracker on whose queue "a" tasks wait and start at a steady rate.
type flowing struct {
	Tracker
	now time.Duration
}

func newFlowing() *flowing {
	f := &flowing{now: time.Hour}
	f.Tracker = NewTracker(func() time.Duration { return f.now }, featuregate.DisabledSet{})
	return f
}

// start has tasks start one after another, with as many waiting as given.
func (f *flowing) start(count int, interval time.Duration, waiting int) {
	f.CountWaiting("a", waiting)
	for range count {
		f.now += interval
		f.CountStarted("a")
	}
}

// objectiveQueues are one queue "a" with an objective.
func objectiveQueues(target time.Duration, refuseBeyond float64) []api.QueueConfig {
	return []api.QueueConfig{{Name: "a", Objective: &api.ObjectiveConfig{
		Target: api.Duration(target), RefuseBeyond: refuseBeyond,
	}}}
}

func TestTracker_WaitFollowsBacklogAndRate(t *testing.T) {
	f := newFlowing()
	if wait, overloaded := f.ExpectedWait("a"); wait != 0 || overloaded {
		t.Errorf("unknown queue: wait %v, overloaded %t", wait, overloaded)
	}
	f.start(100, 50*time.Millisecond, 40)
	if wait, _ := f.ExpectedWait("a"); wait < 1500*time.Millisecond || wait > 2500*time.Millisecond {
		t.Errorf("40 tasks at 20 a second: wait %v, want about 2s", wait)
	}
}

func TestTracker_LongWaitOverloadsAndRefuses(t *testing.T) {
	f := newFlowing()
	queues := objectiveQueues(time.Second, 2)
	f.start(100, 50*time.Millisecond, 80)
	f.Review(f.now, queues)
	if _, overloaded := f.ExpectedWait("a"); overloaded || f.Queue("a").IsRefusing() {
		t.Error("closed at the first look, want a delay")
	}
	f.start(40, 50*time.Millisecond, 0)
	f.Review(f.now, queues)
	if _, overloaded := f.ExpectedWait("a"); !overloaded || !f.Queue("a").IsRefusing() {
		t.Errorf("overloaded %t, refusing %t, want both", overloaded, f.Queue("a").IsRefusing())
	}
}

func TestTracker_UnusedQueuesAreForgotten(t *testing.T) {
	f := newFlowing()
	f.ObserveChain("configured", time.Second)
	f.ObserveChain("gone", time.Second)
	f.CountWaiting("waiting", 1)
	f.ForgetUnused([]api.QueueConfig{{Name: "configured"}})
	for name, want := range map[string]bool{"configured": true, "waiting": true, "gone": false} {
		if _, known := f.queues[name]; known != want {
			t.Errorf("queue %s known: %t, want %t", name, known, want)
		}
	}
}

func TestQueue_RetryAfterIsBounded(t *testing.T) {
	f := newFlowing()
	queue := f.Queue("a")
	if got := queue.RetryAfter(f.now, time.Minute, 1); got != MinRetryAfter {
		t.Errorf("without a rate: %v, want %v", got, MinRetryAfter)
	}
	f.start(100, 50*time.Millisecond, 40)
	if got := queue.RetryAfter(f.now, 0, 1); got < MinRetryAfter {
		t.Errorf("soon: %v, want at least %v", got, MinRetryAfter)
	}
	if got := queue.RetryAfter(f.now, time.Hour, 1); got > MaxRetryAfter {
		t.Errorf("late: %v, want at most %v", got, MaxRetryAfter)
	}
}
