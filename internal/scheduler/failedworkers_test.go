package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// TestFailedWorkers_RetryRunsElsewhere: the fullest worker would be the same one again.
func TestFailedWorkers_RetryRunsElsewhere(t *testing.T) {
	for _, newTerm := range []bool{false, true} {
		h := newHarness(t)
		failing, other := h.worker("a", "a-1"), h.worker("b", "b-1")
		failing.exchange()
		other.exchange()
		h.submit("j", tasks(1))
		if answer := failing.exchange(); len(answer.Start) != 1 {
			t.Fatalf("want the first run on a, got %+v", answer.Start)
		}
		failing.end(api.OutcomeFailed)
		failing.exchange()
		if newTerm {
			h.newTerm()
			failing.exchange()
			other.exchange()
		}
		h.advance(time.Second)
		if answer := other.exchange(); len(answer.Start) != 1 {
			t.Fatalf("new term %v: want the retry on b, got %+v, task %+v", newTerm, answer.Start, h.task("j", 0))
		}
	}
}

func TestFailedWorkers_KeepsNewestAndForgets(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("a", "a-1")
	worker.exchange()
	h.submit("j", tasks(1))
	for range 3 {
		worker.exchange()
		worker.end(api.OutcomeFailed)
		worker.exchange()
		h.advance(time.Second)
	}
	if state := h.status("j").State; state != api.StateFailed {
		t.Fatalf("job is %s", state)
	}
	if len(h.leader.health.failedWorkers) != 0 {
		t.Errorf("kept after the job's end: %v", h.leader.health.failedWorkers)
	}
	known := failedWorkers{}
	id := record.TaskID{Job: "j"}
	for _, name := range []string{"a", "b", "b", "c", "d", "e"} {
		known.add(id, name)
	}
	if got := len(known[id]); got != maxAvoidedWorkers || known[id][0] != "b" {
		t.Errorf("kept %v", known[id])
	}
}
