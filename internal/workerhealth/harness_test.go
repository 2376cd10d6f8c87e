package workerhealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/record"
)

// harness drives a Tracker whose active workers "w0" to "wN" offer service "s", with a
// clock of its own.
type harness struct {
	*Tracker
	now     time.Duration
	workers []ActiveWorker
	// jobs is the number of jobs made by task.
	jobs int
}

func newHarness(workers int) *harness {
	h := &harness{Tracker: New(), now: time.Hour}
	for i := range workers {
		h.workers = append(h.workers, ActiveWorker{ID: fmt.Sprint("w", i), Services: []string{"s"}})
	}
	return h
}

// task returns the only task of a new job.
func (h *harness) task() record.TaskID {
	h.jobs++
	return record.TaskID{Job: fmt.Sprint("job", h.jobs), Step: "s"}
}

// endRuns has runs of different jobs end on a worker.
func (h *harness) endRuns(worker, successes, failures int) {
	id := h.workers[worker].ID
	for range successes {
		h.ObserveSuccess(id, h.task(), h.now)
	}
	for range failures {
		h.ObserveFailure(id, h.task(), h.now)
	}
}

// review lets time pass and reviews all workers.
func (h *harness) review(after time.Duration) []StatusChange {
	h.now += after
	return h.Review(h.now, h.workers)
}

// ejectedCount is the number of workers that are Suspect or on Probation.
func (h *harness) ejectedCount() int {
	count := 0
	for _, worker := range h.workers {
		if state := h.Status(worker.ID).State; state == Suspect || state == Probation {
			count++
		}
	}
	return count
}

func (h *harness) requireEjected(t *testing.T, want int) {
	t.Helper()
	if got := h.ejectedCount(); got != want {
		t.Fatalf("%d workers are ejected, want %d", got, want)
	}
}
