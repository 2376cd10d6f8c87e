package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// TestFailedWorkers_RetryRunsElsewhere guards against a retry on the worker on which the task
// failed: without the list of failed workers the planner would choose the same one again.
func TestFailedWorkers_RetryRunsElsewhere(t *testing.T) {
	for _, newTerm := range []bool{false, true} {
		h := newHarness(t)
		failing, other := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
		failing.exchange()
		other.exchange()
		h.submit("j", tasks(1))
		if answer := failing.exchange(); len(answer.Start) != 1 {
			t.Fatalf("got %+v, want the first run on a", answer.Start)
		}
		failing.endAllRuns(api.OutcomeFailed)
		failing.exchange()
		if newTerm {
			h.newTerm()
			failing.exchange()
			other.exchange()
		}
		h.advance(time.Second)
		if answer := other.exchange(); len(answer.Start) != 1 {
			t.Fatalf("new term %v: got starts %+v, task %+v, want the retry on b", newTerm, answer.Start, h.task("j", 0))
		}
	}
}

func TestFailedWorkers_KeepsNewestAndForgets(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("a", "a-1")
	worker.exchange()
	h.submit("j", tasks(1))
	for range 3 {
		worker.exchange()
		worker.endAllRuns(api.OutcomeFailed)
		worker.exchange()
		h.advance(time.Second)
	}
	if state := h.status("j").State; state != api.StateFailed {
		t.Fatalf("got job state %s, want failed", state)
	}
	if len(h.leader.health.failedWorkers) != 0 {
		t.Errorf("got failed workers %v after the end of the job, want none", h.leader.health.failedWorkers)
	}
	failed := failedWorkers{}
	id := record.TaskID{Job: "j"}
	for _, name := range []string{"a", "b", "b", "c", "d", "e"} {
		failed.add(id, name)
	}
	if got := len(failed[id]); got != maxAvoidedWorkers || failed[id][0] != "b" {
		t.Errorf("got %v, want the 4 newest workers, b to e", failed[id])
	}
}
