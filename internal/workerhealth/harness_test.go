package workerhealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/record"
)

// harness drives a Tracker with its own clock. The active workers are named "w0", "w1" and
// so on, and offer service "s".
type harness struct {
	*Tracker
	now     time.Duration
	workers []ActiveWorker
	// jobCount is the number of jobs created by task.
	jobCount int
}

func newHarness(workers int) *harness {
	h := &harness{Tracker: New(), now: time.Hour}
	for i := range workers {
		h.workers = append(h.workers, ActiveWorker{ID: fmt.Sprint("w", i), Services: []string{"s"}})
	}
	return h
}

// newTask returns the only task of a new job.
func (h *harness) newTask() record.TaskID {
	h.jobCount++
	return record.TaskID{Job: fmt.Sprint("job", h.jobCount), Step: "s"}
}

// endRuns reports ends of runs of different jobs on the worker with the given index.
func (h *harness) endRuns(worker, successes, failures int) {
	id := h.workers[worker].ID
	for range successes {
		h.ObserveSuccess(id, h.newTask(), h.now)
	}
	for range failures {
		h.ObserveFailure(id, h.newTask(), h.now)
	}
}

// review advances the clock and reviews all workers.
func (h *harness) review(after time.Duration) []StatusChange {
	h.now += after
	return h.Review(h.now, h.workers)
}

// ejectedCount returns the number of workers that are Suspect or on Probation.
func (h *harness) ejectedCount() int {
	count := 0
	for _, worker := range h.workers {
		if state := h.Status(worker.ID).State; state == Suspect || state == Probation {
			count++
		}
	}
	return count
}

// requireEjected fails the test unless ejectedCount returns want.
func (h *harness) requireEjected(t *testing.T, want int) {
	t.Helper()
	if got := h.ejectedCount(); got != want {
		t.Fatalf("got %d ejected workers, want %d", got, want)
	}
}
