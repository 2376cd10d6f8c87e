package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// urgencyHarness has one worker with capacity for one task, which job "first" takes,
// and a queue with an objective of 10 s.
func urgencyHarness(t *testing.T) (*harness, *fakeWorker) {
	t.Helper()
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", Objective: &api.ObjectiveConfig{Target: api.Duration(10 * time.Second)}}}})
	worker := h.worker("w", "w-1")
	worker.heartbeat.Capacity.CPUMillis = 1000
	worker.exchange()
	h.submit("first", tasks(1))
	worker.exchange()
	return h, worker
}

// order ends one run after another, a millisecond each, and returns the jobs in
// the order of their orders.
func (h *harness) nextAssignment(worker *fakeWorker, count int) string {
	h.t.Helper()
	var jobs []string
	for range count {
		worker.end(api.OutcomeSucceeded)
		worker.exchange()
		h.advance(time.Millisecond)
		answer := worker.exchange()
		if len(answer.Start) != 1 {
			h.t.Fatalf("after %v: want one assignment, got %+v", jobs, answer.Start)
		}
		job, _, _ := strings.Cut(answer.Start[0].Task, "/")
		jobs = append(jobs, job)
	}
	return strings.Join(jobs, " ")
}

// exchangeFor lets time pass and keeps the worker's hold.
func (h *harness) exchangeFor(worker *fakeWorker, by time.Duration) {
	for ; by > 0; by -= time.Second {
		h.advance(min(by, time.Second))
		worker.exchange()
	}
}

func chain(estimates ...time.Duration) []api.StepSpec {
	var steps []api.StepSpec
	for i, estimate := range estimates {
		step := estimated(1, estimate)
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
	h.submit("short", estimated(1, time.Second))
	h.submit("long", estimated(1, 8*time.Second))
	h.submit("chain", chain(time.Second, 5*time.Second)...)
	if got := h.nextAssignment(worker, 4); got != "long chain chain short" {
		t.Errorf("order: %s", got)
	}
}

// TestUrgency_LateWorkGoesBehind: at 4 s, "late" can no longer meet its objective and
// "new" can; at 33 s nothing can be met, and "lost" is beyond three times its own.
func TestUrgency_LateWorkGoesBehind(t *testing.T) {
	h, worker := urgencyHarness(t)
	h.submit("late", estimated(1, 8*time.Second))
	h.exchangeFor(worker, 4*time.Second)
	h.submit("new", estimated(1, time.Second))
	if got := h.nextAssignment(worker, 2); got != "new late" {
		t.Errorf("order: %s", got)
	}
	h.submit("lost", estimated(1, 8*time.Second))
	h.exchangeFor(worker, 20*time.Second)
	h.submit("later", estimated(1, 8*time.Second))
	h.exchangeFor(worker, 5*time.Second)
	if got := h.nextAssignment(worker, 2); got != "later lost" {
		t.Errorf("order: %s", got)
	}
}

// TestUrgency_LostWorkIsNotStarved: beyond 30 s and ten objectives more, it goes first.
func TestUrgency_LostWorkIsNotStarved(t *testing.T) {
	h, worker := urgencyHarness(t)
	h.submit("lost", estimated(1, time.Second))
	h.exchangeFor(worker, 128*time.Second)
	h.submit("new", estimated(1, 9*time.Second))
	h.exchangeFor(worker, 500*time.Millisecond)
	if got := h.nextAssignment(worker, 1); got != "new" {
		t.Fatalf("first: %s", got)
	}
	h.exchangeFor(worker, time.Second)
	h.submit("newer", estimated(1, 9*time.Second))
	if got := h.nextAssignment(worker, 2); got != "lost newer" {
		t.Errorf("then: %s", got)
	}
}

// TestUrgency_ObjectiveChangeReorders: without one, jobs go in the order in which they came.
func TestUrgency_ObjectiveChangeReorders(t *testing.T) {
	h, worker := urgencyHarness(t)
	h.submit("short", estimated(1, time.Second))
	h.advance(time.Millisecond)
	h.submit("long", estimated(1, 8*time.Second))
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}}})
	if got := h.nextAssignment(worker, 2); got != "short long" {
		t.Errorf("order: %s", got)
	}
	if len(h.leader.pending.ranks) != 0 {
		t.Errorf("%d timers are left", len(h.leader.pending.ranks))
	}
	worker.end(api.OutcomeSucceeded)
	worker.exchange()
	if len(h.leader.pending.chains) != 0 {
		t.Errorf("chains of %d jobs are kept", len(h.leader.pending.chains))
	}
}
