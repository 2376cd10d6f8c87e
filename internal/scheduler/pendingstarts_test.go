package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// wantWaitingJobs checks the count of jobs of queue q of which nothing has started.
func (h *harness) wantWaitingJobs(when string, want int) {
	h.t.Helper()
	answer, err := h.leader.readQueue(context.Background(), protocol.QueueRequest{Name: "q"})
	if err != nil {
		h.t.Fatalf("%s: %v", when, err)
	}
	if answer.Status.WaitingJobs != want {
		h.t.Errorf("%s: %d jobs wait, want %d", when, answer.Status.WaitingJobs, want)
	}
}

// workerWithAssignments is a worker that was just given assignments for all that fits.
func (h *harness) workerWithAssignments() *fakeWorker {
	h.t.Helper()
	worker := h.worker("w", "w-1")
	worker.exchange()
	worker.exchange()
	return worker
}

// TestPendingStarts_JobWaitsUntilTaskStarts counts jobs, not tasks, and those placed only too.
func TestPendingStarts_JobWaitsUntilTaskStarts(t *testing.T) {
	h := newHarness(t)
	h.submit("many", tasks(3))
	h.submit("one", tasks(1))
	h.wantWaitingJobs("without workers", 2)

	worker := h.workerWithAssignments()
	h.wantWaitingJobs("once ordered", 2)
	worker.exchange()
	h.wantWaitingJobs("once listed as running", 0)

	h.submit("third", tasks(2))
	h.wantWaitingJobs("after another came", 1)
}

// TestPendingStarts_LostAssignmentKeepsJobWaiting: a run that was refused or never arrived
// has not started.
func TestPendingStarts_LostAssignmentKeepsJobWaiting(t *testing.T) {
	h := newHarness(t)
	h.submit("j", tasks(1))
	worker := h.worker("w", "w-1")
	worker.exchange()
	if _, err := worker.send(); err != nil { // its answer, with the order, is lost
		t.Fatal(err)
	}
	worker.exchange()
	h.wantWaitingJobs("after the order was lost", 1)

	worker.end(api.OutcomeStopped)
	worker.exchange()
	h.wantWaitingJobs("after the order was refused", 1)
}

// TestPendingStarts_EndBetweenHeartbeatsCountsAsStarted: its runs were never listed as running.
func TestPendingStarts_EndBetweenHeartbeatsCountsAsStarted(t *testing.T) {
	h := newHarness(t)
	h.submit("j", tasks(2))
	worker := h.workerWithAssignments()
	worker.end(api.OutcomeFailed)
	worker.exchange()
	h.wantWaitingJobs("after its runs failed", 0)
}

// TestPendingStarts_AcrossTerms: a new leader counts what may not have started until
// a heartbeat tells, and nothing that has.
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
	worker.end(api.OutcomeSucceeded)
	worker.exchange()
	h.newTerm()
	h.wantWaitingJobs("in the third term", 1)
}

// TestPendingStarts_CancelledJobDoesNotWait: they have ended.
func TestPendingStarts_CancelledJobDoesNotWait(t *testing.T) {
	h := newHarness(t)
	h.submit("j", tasks(2))
	h.wantWaitingJobs("before", 1)
	if _, err := h.leader.cancel(t.Context(), protocol.CancelRequest{ID: "j"}); err != nil {
		t.Fatal(err)
	}
	h.wantWaitingJobs("after", 0)
}
