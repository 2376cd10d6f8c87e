package workerhealth

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/internal/record"
)

func TestReview_EjectsOutliersOnly(t *testing.T) {
	cases := []struct {
		name        string
		workers     int
		observe     func(*harness)
		wantEjected int
	}{
		{"all runs fail", 11, func(h *harness) { h.endRuns(0, 0, 3) }, 1},
		{"two failures", 11, func(h *harness) { h.endRuns(0, 0, 2) }, 0},
		{"a third of the runs fail", 11, func(h *harness) { h.endRuns(0, 8, 4) }, 1},
		{"a few failures among many", 11, func(h *harness) { h.endRuns(0, 13, 3) }, 0},
		{"three of eleven workers fail, at most two are ejected", 11, func(h *harness) {
			for i := range 11 {
				h.endRuns(i, 8, 0)
			}
			for i := range 3 {
				h.endRuns(i, 0, 8)
			}
		}, 2},
		{"all workers fail", 11, func(h *harness) {
			for i := range 11 {
				h.endRuns(i, 0, 8)
			}
		}, 0},
		{"one of two workers fails", 2, func(h *harness) { h.endRuns(0, 0, 4); h.endRuns(1, 8, 0) }, 1},
		{"only worker of its service", 1, func(h *harness) { h.endRuns(0, 0, 16) }, 0},
		{"failures of one job", 11, func(h *harness) {
			for i := range 16 {
				h.ObserveFailure("w0", record.TaskID{Job: "failing", Step: "s", Index: i}, h.now)
			}
		}, 0},
		{"tasks that also fail on another worker", 11, func(h *harness) {
			for range 8 {
				task := h.newTask()
				h.ObserveFailure("w0", task, h.now)
				h.ObserveFailure("w1", task, h.now)
			}
		}, 0},
		{"two stalled runs", 11, func(h *harness) {
			h.endRuns(0, 4, 0)
			h.ObserveStall("w0", h.newTask(), h.now)
			h.ObserveStall("w0", h.newTask(), h.now)
		}, 1},
		{"one stalled run", 11, func(h *harness) { h.ObserveStall("w0", h.newTask(), h.now) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(c.workers)
			c.observe(h)
			h.review(time.Second)
			h.requireEjected(t, c.wantEjected)
		})
	}
}

func TestReview_EjectsWorstFirst(t *testing.T) {
	h := newHarness(4)
	h.endRuns(1, 4, 4)
	h.endRuns(2, 0, 4)
	h.endRuns(3, 16, 0)
	h.review(0)
	h.requireEjected(t, 1)
	if got := h.Status("w2"); got.State != Suspect || got.Reason == "" {
		t.Errorf("status of w2: got %+v, want suspect with a reason", got)
	}
}

func TestReview_OldFailuresExpire(t *testing.T) {
	h := newHarness(11)
	h.endRuns(0, 0, 2)
	h.review(runEndWindow)
	h.endRuns(0, 0, 2)
	h.review(0)
	h.requireEjected(t, 0)
	if len(h.withFaults) != 1 {
		t.Errorf("got %d workers with faults, want 1", len(h.withFaults))
	}
}

func TestReview_EjectionTimeDoublesUntilReinstated(t *testing.T) {
	h := newHarness(11)
	h.endRuns(0, 0, 3)
	ejectionTime := baseEjectionTime
	for range 8 {
		h.review(0)
		if got := h.Status("w0").State; got != Suspect {
			t.Fatalf("at the start of the ejection of %v: got %s, want suspect", ejectionTime, got)
		}
		h.review(ejectionTime - 1)
		if got := h.Status("w0").State; got != Suspect {
			t.Fatalf("before the end of the ejection of %v: got %s, want suspect", ejectionTime, got)
		}
		h.review(1)
		if got := h.Status("w0").State; got != Probation {
			t.Fatalf("after the ejection of %v: got %s, want probation", ejectionTime, got)
		}
		h.endRuns(0, 2, 1)
		ejectionTime = min(2*ejectionTime, maxEjectionTime)
	}
	h.review(0)
	h.review(maxEjectionTime)
	h.endRuns(0, requiredSuccesses, 0)
	h.review(0)
	if got := h.Status("w0"); got.State != Healthy || got.Reason != "" {
		t.Fatalf("after enough successes on probation: got %+v, want trusted without a reason", got)
	}
	h.review(ejectionsResetAfter)
	h.endRuns(0, 0, 3)
	h.review(0)
	h.review(baseEjectionTime)
	if got := h.Status("w0").State; got != Probation {
		t.Fatalf("after baseEjectionTime of an ejection after a reset: got %s, want probation", got)
	}
	h.review(maxProbation)
	if got := h.Status("w0").State; got != Healthy {
		t.Fatalf("after maxProbation without runs: got %s, want trusted", got)
	}
}

// TestReview_HealthyWorkersAreRarelyEjected guards against ejections for faults of tasks:
// 2% of tasks fail by their own fault, half of them also on a second worker, and 1% of
// jobs can never succeed. Over 6,000 tasks on 11 workers, at most one ejection per 1,000
// tasks is tolerated.
func TestReview_HealthyWorkersAreRarelyEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(11)
		next := drawGenerator(t)
		ejections := 0
		const jobs, tasks = 1000, 6
		for range jobs {
			job := h.newTask().Job
			neverSucceeds := next(100) == 0
			for i := range tasks {
				task := record.TaskID{Job: job, Step: "s", Index: i}
				first := next(11)
				failsOnce := next(100) < 2
				if !neverSucceeds && !failsOnce {
					h.ObserveSuccess(h.workers[first].ID, task, h.now)
					continue
				}
				h.ObserveFailure(h.workers[first].ID, task, h.now)
				second := (first + 1 + next(10)) % 11
				if neverSucceeds || next(2) == 0 {
					h.ObserveFailure(h.workers[second].ID, task, h.now+time.Second)
				} else {
					h.ObserveSuccess(h.workers[second].ID, task, h.now+time.Second)
				}
			}
			for _, change := range h.review(100 * time.Millisecond) {
				if change.State == Suspect {
					ejections++
				}
			}
			if ejected := h.ejectedCount(); ejected > 2 {
				t.Fatalf("got %d ejected workers, want at most 2", ejected)
			}
		}
		if ejections > jobs*tasks/1000 {
			t.Fatalf("got %d ejections of healthy workers in %d tasks, want at most one per 1000 tasks", ejections, jobs*tasks)
		}
	})
}

// TestReview_FailingWorkersAreEjected checks that, if 40% or more of the runs fail on one
// or two of 11 workers, as many workers are ejected within 60 runs of each worker, w0 among
// them.
func TestReview_FailingWorkersAreEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(11)
		failing := rapid.IntRange(1, 2).Draw(t, "failing")
		percent := rapid.IntRange(40, 100).Draw(t, "percent")
		next := drawGenerator(t)
		ejected := map[string]bool{}
		for range 60 {
			for worker := range 11 {
				if worker < failing && next(100) < percent {
					h.endRuns(worker, 0, 1)
					continue
				}
				h.endRuns(worker, 1, 0)
			}
			for _, change := range h.review(100 * time.Millisecond) {
				ejected[change.WorkerID] = true
			}
		}
		if len(ejected) != failing || !ejected["w0"] {
			t.Fatalf("got ejected workers %v, want %d workers, w0 among them", ejected, failing)
		}
	})
}

// drawGenerator draws a seed and returns a linear congruential generator of numbers from
// 0 to bound-1. It is cheaper than drawing each number.
func drawGenerator(t *rapid.T) (next func(bound int) int) {
	state := rapid.Uint64Range(1, 1<<62).Draw(t, "seed")
	return func(bound int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int(state>>33) % bound
	}
}
