package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// urgencyHarness returns a harness with a queue that has an objective of 10 s, and its only
// worker. The worker has capacity for one task, which job "first" takes.
func urgencyHarness(t *testing.T) (*harness, *fakeWorker) {
	t.Helper()
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", Objective: &api.ObjectiveConfig{Target: api.Duration(10 * time.Second)}}}})
	worker := h.newWorker("w", "w-1")
	worker.heartbeat.Capacity.CPUMillis = 1000
	worker.exchange()
	h.submit("first", tasks(1))
	worker.exchange()
	return h, worker
}

// assignmentOrder ends the worker's run count times, 1 ms apart, and returns the jobs of the
// next assignments in their order.
func (h *harness) assignmentOrder(worker *fakeWorker, count int) string {
	h.t.Helper()
	var jobs []string
	for range count {
		worker.endAllRuns(api.OutcomeSucceeded)
		worker.exchange()
		h.advance(time.Millisecond)
		answer := worker.exchange()
		if len(answer.Start) != 1 {
			h.t.Fatalf("after %v: got %+v, want one assignment", jobs, answer.Start)
		}
		job, _, _ := strings.Cut(answer.Start[0].Task, "/")
		jobs = append(jobs, job)
	}
	return strings.Join(jobs, " ")
}

// exchangeFor advances time by the given duration, with a heartbeat of the worker at least
// every second to keep its lease.
func (h *harness) exchangeFor(worker *fakeWorker, by time.Duration) {
	for ; by > 0; by -= time.Second {
		h.advance(min(by, time.Second))
		worker.exchange()
	}
}

// chainOfSteps returns steps of one task each that run one after the other.
func chainOfSteps(estimates ...time.Duration) []api.StepSpec {
	var steps []api.StepSpec
	for i, estimate := range estimates {
		step := tasksWithEstimate(1, estimate)
		step.Name = string(rune('a' + i))
		if i > 0 {
			step.After = []string{steps[i-1].Name}
		}
		steps = append(steps, step)
	}
	return steps
}

func TestUrgency_LeastSlackGoesFirst(t *testing.T) {
	h, worker := urgencyHarness(t)
	h.submit("short", tasksWithEstimate(1, time.Second))
	h.submit("long", tasksWithEstimate(1, 8*time.Second))
	h.submit("chain", chainOfSteps(time.Second, 5*time.Second)...)
	if got := h.assignmentOrder(worker, 4); got != "long chain chain short" {
		t.Errorf("got order %s, want long chain chain short", got)
	}
}

// TestUrgency_LateTaskGoesAfterOnTimeTask: at 4 s, "late" can no longer meet its objective and
// "new" can. At 29 s neither job can, and "lost" can no longer end within three times its own.
func TestUrgency_LateTaskGoesAfterOnTimeTask(t *testing.T) {
	h, worker := urgencyHarness(t)
	h.submit("late", tasksWithEstimate(1, 8*time.Second))
	h.exchangeFor(worker, 4*time.Second)
	h.submit("new", tasksWithEstimate(1, time.Second))
	if got := h.assignmentOrder(worker, 2); got != "new late" {
		t.Errorf("at 4 s: got order %s, want new late", got)
	}
	h.submit("lost", tasksWithEstimate(1, 8*time.Second))
	h.exchangeFor(worker, 20*time.Second)
	h.submit("later", tasksWithEstimate(1, 8*time.Second))
	h.exchangeFor(worker, 5*time.Second)
	if got := h.assignmentOrder(worker, 2); got != "later lost" {
		t.Errorf("at 29 s: got order %s, want later lost", got)
	}
}

// TestUrgency_LostTaskIsPromoted: a lost task goes first once ten objectives have passed since
// its latest start to end within three objectives (30 s less its estimate).
func TestUrgency_LostTaskIsPromoted(t *testing.T) {
	h, worker := urgencyHarness(t)
	h.submit("lost", tasksWithEstimate(1, time.Second))
	h.exchangeFor(worker, 128*time.Second)
	h.submit("new", tasksWithEstimate(1, 9*time.Second))
	h.exchangeFor(worker, 500*time.Millisecond)
	if got := h.assignmentOrder(worker, 1); got != "new" {
		t.Fatalf("before the promotion: got order %s, want new", got)
	}
	h.exchangeFor(worker, time.Second)
	h.submit("newer", tasksWithEstimate(1, 9*time.Second))
	if got := h.assignmentOrder(worker, 2); got != "lost newer" {
		t.Errorf("after the promotion: got order %s, want lost newer", got)
	}
}

// TestUrgency_ObjectiveChangeReorders: once the queue has no objective, waiting jobs go in the
// order of their submission.
func TestUrgency_ObjectiveChangeReorders(t *testing.T) {
	h, worker := urgencyHarness(t)
	h.submit("short", tasksWithEstimate(1, time.Second))
	h.advance(time.Millisecond)
	h.submit("long", tasksWithEstimate(1, 8*time.Second))
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}}})
	if got := h.assignmentOrder(worker, 2); got != "short long" {
		t.Errorf("got order %s, want short long", got)
	}
	if len(h.leader.pending.ranks) != 0 {
		t.Errorf("got %d rank timers left, want 0", len(h.leader.pending.ranks))
	}
	worker.endAllRuns(api.OutcomeSucceeded)
	worker.exchange()
	if len(h.leader.pending.criticalPaths) != 0 {
		t.Errorf("got critical paths of %d jobs left, want 0", len(h.leader.pending.criticalPaths))
	}
}
