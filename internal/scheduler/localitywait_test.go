package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// registerRackWorkers registers worker "x" in rack x, with capacity for one task, and worker
// "y" in rack y, with capacity for four.
func (h *harness) registerRackWorkers() (x, y *fakeWorker) {
	x, y = h.newWorker("x", "x-1"), h.newWorker("y", "y-1")
	x.heartbeat.Capacity.CPUMillis = 1000
	for _, worker := range []*fakeWorker{x, y} {
		worker.heartbeat.Labels = map[string]string{"rack": worker.heartbeat.Name}
		worker.exchange()
	}
	return x, y
}

// preferringRack returns a step of one task that prefers the rack.
func preferringRack(rack string, estimate time.Duration) api.StepSpec {
	step := tasksWithEstimate(1, estimate)
	step.Tasks[0].Prefer = map[string]string{"rack": rack}
	return step
}

func TestLocalityWait_IsBounded(t *testing.T) {
	cases := []struct {
		name      string
		estimate  time.Duration
		objective time.Duration
		waits     time.Duration
	}{
		{"limited by maxLocalityWait", 10 * time.Second, time.Minute, maxLocalityWait},
		{"limited by its estimate", 150 * time.Millisecond, time.Minute, 150 * time.Millisecond},
		{"limited by its slack", 400 * time.Millisecond, 800 * time.Millisecond, 100 * time.Millisecond},
		{"no wait if it is late", 10 * time.Second, time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", Objective: &api.ObjectiveConfig{Target: api.Duration(c.objective)}}}})
			x, y := h.registerRackWorkers()
			h.submit("first", preferringRack("x", time.Second))
			if answer := x.exchange(); len(answer.Start) != 1 {
				t.Fatalf("got %+v, want the first task assigned in its preferred rack", answer.Start)
			}
			h.submit("second", preferringRack("x", c.estimate))
			if c.waits > 0 {
				h.advance(c.waits - time.Millisecond)
				if answer := y.exchange(); len(answer.Start) != 0 {
					t.Fatalf("before %v: got %+v, want no assignment in the other rack", c.waits, answer.Start)
				}
				h.advance(time.Millisecond)
			}
			if answer := y.exchange(); len(answer.Start) != 1 {
				t.Fatalf("second task not assigned in the other rack after %v", c.waits)
			}
		})
	}
}

func TestLocalityWait_UsesPreferredRackOnceFree(t *testing.T) {
	h := newHarness(t)
	x, y := h.registerRackWorkers()
	h.submit("first", preferringRack("x", time.Second))
	x.exchange()
	h.submit("second", preferringRack("x", time.Second))
	h.advance(100 * time.Millisecond)
	x.endAllRuns(api.OutcomeSucceeded)
	x.exchange()
	if answer := x.exchange(); len(answer.Start) != 1 {
		t.Errorf("second task not assigned in its preferred rack")
	}
	if answer := y.exchange(); len(answer.Start) != 0 {
		t.Errorf("got %+v in the other rack, want no assignment", answer.Start)
	}
}

// TestLocalityWait_RetryDoesNotWait: a retry that waited for its preferred rack would return
// to the worker on which it failed.
func TestLocalityWait_RetryDoesNotWait(t *testing.T) {
	h := newHarness(t)
	x, y := h.registerRackWorkers()
	step := preferringRack("x", time.Second)
	allowed := 3
	step.Tasks[0].AllowedFailures = &allowed
	h.submit("j", step)
	x.exchange()
	x.endAllRuns(api.OutcomeFailed)
	x.exchange()
	h.submit("taken", preferringRack("x", time.Second))
	x.exchange()
	h.advance(time.Second)
	if answer := y.exchange(); len(answer.Start) != 1 {
		t.Errorf("retry not assigned in the other rack")
	}
}

// TestLocalityWait_ChangedQueueOrderEndsWait: a change of queue priorities drops the rank
// timers, among them that of a locality wait. A wait that stayed would never end.
func TestLocalityWait_ChangedQueueOrderEndsWait(t *testing.T) {
	h := newHarness(t)
	x, y := h.registerRackWorkers()
	h.submit("first", preferringRack("x", time.Second))
	x.exchange()
	h.submit("second", preferringRack("x", time.Second))
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", Priority: 3}}})
	if answer := y.exchange(); len(answer.Start) != 1 {
		t.Errorf("second task not assigned in the other rack after the change of queue order")
	}
}

// TestHealthReview_RunsOutsidePreferredRackAreNotCompared: runs take three times as long as
// usual on worker y. Runs of tasks that prefer rack x must not make y count as slow, as those
// of tasks that prefer rack y do.
func TestHealthReview_RunsOutsidePreferredRackAreNotCompared(t *testing.T) {
	for prefers, slow := range map[string]bool{"x": false, "y": true} {
		t.Run("near "+prefers, func(t *testing.T) {
			h := newHarness(t)
			x, y := h.registerRackWorkers()
			h.submit("taken", preferringRack("x", time.Minute))
			x.exchange()
			for i := range 8 {
				usual := workerhealth.RunPace{Run: record.RunID{Task: record.TaskID{Job: fmt.Sprint("usual", i)}}, Queue: "q", Ratio: 1, Ended: true}
				h.leader.health.tracker.ObservePace("elsewhere", usual, h.now)
			}
			for i := range 6 {
				h.submit(fmt.Sprint("j", i), preferringRack(prefers, time.Second))
				for range 35 {
					h.advance(100 * time.Millisecond)
					x.exchange()
					y.exchange()
				}
				y.endAllRuns(api.OutcomeSucceeded)
				y.exchange()
			}
			h.advance(reviewInterval)
			if row := h.workerRow("y"); (row.Reason != "") != slow {
				t.Errorf("worker y: got state %s, reason %q, want a reason only for tasks that prefer its rack", row.State, row.Reason)
			}
		})
	}
}
