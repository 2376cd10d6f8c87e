package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// wantWaitingJobs checks the number of jobs of queue q of which no task has started.
func (h *harness) wantWaitingJobs(when string, want int) {
	h.t.Helper()
	answer, err := h.leader.readQueue(context.Background(), protocol.QueueRequest{Name: "q"})
	if err != nil {
		h.t.Fatalf("%s: %v", when, err)
	}
	if answer.Status.WaitingJobs != want {
		h.t.Errorf("%s: got %d waiting jobs, want %d", when, answer.Status.WaitingJobs, want)
	}
}

// workerWithAssignments registers a worker and has it take assignments for all tasks that fit.
func (h *harness) workerWithAssignments() *fakeWorker {
	h.t.Helper()
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	worker.exchange()
	return worker
}

// TestPendingStarts_JobWaitsUntilTaskStarts: the count is of jobs, not of tasks, and includes
// jobs whose tasks are placed or assigned but not seen started.
func TestPendingStarts_JobWaitsUntilTaskStarts(t *testing.T) {
	h := newHarness(t)
	h.submit("many", tasks(3))
	h.submit("one", tasks(1))
	h.wantWaitingJobs("without workers", 2)

	worker := h.workerWithAssignments()
	h.wantWaitingJobs("once assigned", 2)
	worker.exchange()
	h.wantWaitingJobs("once listed as running", 0)

	h.submit("third", tasks(2))
	h.wantWaitingJobs("after the third job was submitted", 1)
}

// TestPendingStarts_LostAssignmentKeepsJobWaiting: a run whose assignment was lost, or refused
// by the worker, has not started.
func TestPendingStarts_LostAssignmentKeepsJobWaiting(t *testing.T) {
	h := newHarness(t)
	h.submit("j", tasks(1))
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	if _, err := worker.send(); err != nil { // the worker does not accept the answer with the assignment
		t.Fatal(err)
	}
	worker.exchange()
	h.wantWaitingJobs("after the assignment was lost", 1)

	worker.endAllRuns(api.OutcomeStopped)
	worker.exchange()
	h.wantWaitingJobs("after the assignment was refused", 1)
}

// TestPendingStarts_EndBetweenHeartbeatsCountsAsStarted: runs that start and end between two
// heartbeats are never listed as running; the report of their end must count as a start.
func TestPendingStarts_EndBetweenHeartbeatsCountsAsStarted(t *testing.T) {
	h := newHarness(t)
	h.submit("j", tasks(2))
	worker := h.workerWithAssignments()
	worker.endAllRuns(api.OutcomeFailed)
	worker.exchange()
	h.wantWaitingJobs("after its runs failed", 0)
}

// TestPendingStarts_AcrossTerms: a new leader counts a job with open runs until a heartbeat
// lists one of them, and does not count a job of which a task has ended.
func TestPendingStarts_AcrossTerms(t *testing.T) {
	h := newHarness(t)
	h.submit("runs", tasks(1))
	worker := h.workerWithAssignments()
	worker.exchange()
	h.submit("waits", api.StepSpec{Name: "s", Tasks: []api.TaskSpec{{Service: "s", Resources: api.Resources{CPUMillis: 4000}}}})
	h.wantWaitingJobs("in the first term", 1)

	h.newTerm()
	h.wantWaitingJobs("before a heartbeat", 2)
	h.advance(100 * time.Millisecond)
	worker.exchange()
	h.wantWaitingJobs("after a heartbeat", 1)
	worker.endAllRuns(api.OutcomeSucceeded)
	worker.exchange()
	h.newTerm()
	h.wantWaitingJobs("in the third term", 1)
}

// TestPendingStarts_CancelledJobDoesNotWait: a cancelled job has ended and must not be counted
// any more.
func TestPendingStarts_CancelledJobDoesNotWait(t *testing.T) {
	h := newHarness(t)
	h.submit("j", tasks(2))
	h.wantWaitingJobs("before", 1)
	if _, err := h.leader.cancel(t.Context(), protocol.CancelRequest{ID: "j"}); err != nil {
		t.Fatal(err)
	}
	h.wantWaitingJobs("after", 0)
}
