package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// racks registers worker "x" of rack x with capacity for one task, and "y" of rack y.
func (h *harness) racks() (x, y *fakeWorker) {
	x, y = h.worker("x", "x-1"), h.worker("y", "y-1")
	x.heartbeat.Capacity.CPUMillis = 1000
	for _, worker := range []*fakeWorker{x, y} {
		worker.heartbeat.Labels = map[string]string{"rack": worker.heartbeat.Name}
		worker.exchange()
	}
	return x, y
}

// nearRack is a step of one task that prefers the rack.
func nearRack(rack string, estimate time.Duration) api.StepSpec {
	step := estimated(1, estimate)
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
		{"the longest time", 10 * time.Second, time.Minute, maxLocalityWait},
		{"for its estimate", 150 * time.Millisecond, time.Minute, 150 * time.Millisecond},
		{"for a part of its slack", 400 * time.Millisecond, 800 * time.Millisecond, 100 * time.Millisecond},
		{"not at all if it is late", 10 * time.Second, time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", Objective: &api.ObjectiveConfig{Target: api.Duration(c.objective)}}}})
			x, y := h.racks()
			h.submit("first", nearRack("x", time.Second))
			if answer := x.exchange(); len(answer.Start) != 1 {
				t.Fatalf("the rack's own: %+v", answer.Start)
			}
			h.submit("second", nearRack("x", c.estimate))
			if c.waits > 0 {
				h.advance(c.waits - time.Millisecond)
				if answer := y.exchange(); len(answer.Start) != 0 {
					t.Fatalf("elsewhere before %v: %+v", c.waits, answer.Start)
				}
				h.advance(time.Millisecond)
			}
			if answer := y.exchange(); len(answer.Start) != 1 {
				t.Fatalf("not elsewhere after %v", c.waits)
			}
		})
	}
}

func TestLocalityWait_UsesPreferredRackOnceFree(t *testing.T) {
	h := newHarness(t)
	x, y := h.racks()
	h.submit("first", nearRack("x", time.Second))
	x.exchange()
	h.submit("second", nearRack("x", time.Second))
	h.advance(100 * time.Millisecond)
	x.end(api.OutcomeSucceeded)
	x.exchange()
	if answer := x.exchange(); len(answer.Start) != 1 {
		t.Errorf("no assignment in its rack")
	}
	if answer := y.exchange(); len(answer.Start) != 0 {
		t.Errorf("elsewhere as well: %+v", answer.Start)
	}
}

// TestLocalityWait_RetryDoesNotWait: it would go back to where it failed.
func TestLocalityWait_RetryDoesNotWait(t *testing.T) {
	h := newHarness(t)
	x, y := h.racks()
	step := nearRack("x", time.Second)
	allowed := 3
	step.Tasks[0].AllowedFailures = &allowed
	h.submit("j", step)
	x.exchange()
	x.end(api.OutcomeFailed)
	x.exchange()
	h.submit("taken", nearRack("x", time.Second))
	x.exchange()
	h.advance(time.Second)
	if answer := y.exchange(); len(answer.Start) != 1 {
		t.Errorf("the retry waits")
	}
}

// TestLocalityWait_ChangedQueueOrderEndsIt: the wait's timer goes with the order of queues.
func TestLocalityWait_ChangedQueueOrderEndsIt(t *testing.T) {
	h := newHarness(t)
	x, y := h.racks()
	h.submit("first", nearRack("x", time.Second))
	x.exchange()
	h.submit("second", nearRack("x", time.Second))
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", Priority: 3}}})
	if answer := y.exchange(); len(answer.Start) != 1 {
		t.Errorf("waits on without a timer")
	}
}

// TestHealthReview_RunsOutsidePreferredRackGiveNoPace: they take three times as long as
// usual on worker y, which is sound.
func TestHealthReview_RunsOutsidePreferredRackGiveNoPace(t *testing.T) {
	for prefers, slow := range map[string]bool{"x": false, "y": true} {
		t.Run("near "+prefers, func(t *testing.T) {
			h := newHarness(t)
			x, y := h.racks()
			h.submit("taken", nearRack("x", time.Minute))
			x.exchange()
			for i := range 8 {
				usual := workerhealth.RunPace{Run: record.RunID{Task: record.TaskID{Job: fmt.Sprint("usual", i)}}, Queue: "q", Ratio: 1, Ended: true}
				h.leader.health.tracker.ObservePace("elsewhere", usual, h.now)
			}
			for i := range 6 {
				h.submit(fmt.Sprint("j", i), nearRack(prefers, time.Second))
				for range 35 {
					h.advance(100 * time.Millisecond)
					x.exchange()
					y.exchange()
				}
				y.end(api.OutcomeSucceeded)
				y.exchange()
			}
			h.advance(reviewInterval)
			if row := h.stateOf("y"); (row.Reason != "") != slow {
				t.Errorf("y: %s %q", row.State, row.Reason)
			}
		})
	}
}
