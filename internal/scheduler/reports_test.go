package scheduler

import (
	"context"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
)

// deliver brings a heartbeat to the leader under a context of its own.
func (h *harness) deliver(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, error) {
	answer, err := h.leader.heartbeat(ctx, fleet.HeartbeatRequest{Agent: "a", Zone: "z1", Heartbeat: heartbeat})
	h.settle()
	return answer.Answer, err
}

// runningOne returns a worker that runs the one task of job "j".
func (h *harness) runningOne() *fakeWorker {
	h.t.Helper()
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	worker.exchange()
	worker.exchange()
	return worker
}

func (h *harness) wantState(id string, want api.State) {
	h.t.Helper()
	if state := h.status(id).State; state != want {
		h.t.Errorf("job %s is %s, want %s", id, state, want)
	}
}

func TestEndIsTakenAlthoughItsCallerWentAway(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	worker.heartbeat.Seq++
	gone, leave := context.WithCancel(t.Context())
	leave()
	_, _ = h.deliver(gone, worker.heartbeat) // nobody reads the answer
	h.wantState("j", api.StateSucceeded)
}

func TestWorkerIsRegisteredAlthoughItsCallerWentAway(t *testing.T) {
	h := newHarness(t)
	gone, leave := context.WithCancel(t.Context())
	leave()
	worker := h.worker("w", "w-1")
	worker.heartbeat.Seq++
	_, _ = h.deliver(gone, worker.heartbeat) // nobody reads the answer
	if !h.leader.workers["w-1"].registered {
		t.Error("not registered")
	}
}

func TestLateHeartbeatBringsItsEndsAndNothingElse(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	worker.heartbeat.Seq++
	late := worker.heartbeat
	late.Draining = true // the newer one's word on this counts
	worker.heartbeat.Seq++
	h.log.overloaded = true
	if _, err := h.deliver(t.Context(), worker.heartbeat); err == nil {
		t.Fatal("answered although the end could not be recorded")
	}
	h.log.overloaded = false
	h.submit("k", tasks(1))
	if answer, err := h.deliver(t.Context(), late); err == nil {
		t.Errorf("a late heartbeat was answered: %+v", answer)
	}
	h.wantState("j", api.StateSucceeded)
	entry := h.leader.workers["w-1"]
	if entry.draining || entry.seq != worker.heartbeat.Seq {
		t.Errorf("conclusions from a late heartbeat: draining %t, seq %d", entry.draining, entry.seq)
	}
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "k/s/0" {
		t.Errorf("orders of the next heartbeat: %+v", answer.Start)
	}
}

// A late heartbeat does not list what was started since.
func TestLateHeartbeatGivesUpNoRun(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	worker.heartbeat.Seq++
	late := worker.heartbeat
	h.submit("j", tasks(1))
	worker.exchange()
	worker.exchange()
	if _, err := h.deliver(t.Context(), late); err == nil {
		t.Error("a late heartbeat was answered")
	}
	h.wantState("j", api.StateRunning)
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("the task is at run %d, want 1", task.Run)
	}
}
