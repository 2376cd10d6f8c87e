package slo

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
)

// simulatedTracker is a tracker with a simulated clock, in whose queue "a" tasks wait and
// start at a steady rate.
type simulatedTracker struct {
	Tracker
	now time.Duration
}

func newSimulatedTracker() *simulatedTracker {
	f := &simulatedTracker{now: time.Hour}
	f.Tracker = NewTracker(func() time.Duration { return f.now }, featuregate.DisabledSet{})
	return f
}

// startTasks adds waiting tasks to queue "a", and then starts count tasks at an interval.
// Starts do not reduce the number of waiting tasks.
func (f *simulatedTracker) startTasks(count int, interval time.Duration, waiting int) {
	f.CountWaiting("a", waiting)
	for range count {
		f.now += interval
		f.CountStarted("a")
	}
}

// objectiveQueues returns one queue "a" with an objective.
func objectiveQueues(target time.Duration, refuseBeyond float64) []api.QueueConfig {
	return []api.QueueConfig{{Name: "a", Objective: &api.ObjectiveConfig{
		Target: api.Duration(target), RefuseBeyond: refuseBeyond,
	}}}
}

func TestTracker_WaitFollowsBacklogAndRate(t *testing.T) {
	f := newSimulatedTracker()
	if wait, overloaded := f.ExpectedWait("a"); wait != 0 || overloaded {
		t.Errorf("unknown queue: got wait %v, overloaded %t, want 0, false", wait, overloaded)
	}
	f.startTasks(100, 50*time.Millisecond, 40)
	if wait, _ := f.ExpectedWait("a"); wait < 1500*time.Millisecond || wait > 2500*time.Millisecond {
		t.Errorf("40 tasks at 20 starts per second: got wait %v, want 1.5s to 2.5s", wait)
	}
}

func TestTracker_LongWaitOverloadsAndRefuses(t *testing.T) {
	f := newSimulatedTracker()
	queues := objectiveQueues(time.Second, 2)
	f.startTasks(100, 50*time.Millisecond, 80)
	f.Review(f.now, queues)
	if _, overloaded := f.ExpectedWait("a"); overloaded || f.Queue("a").IsRefusing() {
		t.Error("overloaded or refusing at the first review, want a delay")
	}
	f.startTasks(40, 50*time.Millisecond, 0)
	f.Review(f.now, queues)
	if _, overloaded := f.ExpectedWait("a"); !overloaded || !f.Queue("a").IsRefusing() {
		t.Errorf("got overloaded %t, refusing %t, want both", overloaded, f.Queue("a").IsRefusing())
	}
}

func TestTracker_UnusedQueuesAreForgotten(t *testing.T) {
	f := newSimulatedTracker()
	f.ObserveCriticalPath("configured", time.Second)
	f.ObserveCriticalPath("gone", time.Second)
	f.CountWaiting("waiting", 1)
	f.ForgetUnused([]api.QueueConfig{{Name: "configured"}})
	for name, want := range map[string]bool{"configured": true, "waiting": true, "gone": false} {
		if _, known := f.queues[name]; known != want {
			t.Errorf("queue %s: got known %t, want %t", name, known, want)
		}
	}
}

func TestQueue_RetryAfterIsBounded(t *testing.T) {
	f := newSimulatedTracker()
	queue := f.Queue("a")
	if got := queue.RetryAfter(f.now, time.Minute, 1); got != MinRetryAfter {
		t.Errorf("before the start rate is known: got %v, want %v", got, MinRetryAfter)
	}
	f.startTasks(100, 50*time.Millisecond, 40)
	if got := queue.RetryAfter(f.now, 0, 1); got < MinRetryAfter {
		t.Errorf("place free now: got %v, want at least %v", got, MinRetryAfter)
	}
	if got := queue.RetryAfter(f.now, time.Hour, 1); got > MaxRetryAfter {
		t.Errorf("place free in an hour: got %v, want at most %v", got, MaxRetryAfter)
	}
}
