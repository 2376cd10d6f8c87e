package scheduler

import (
	"testing"
	"time"
)

func TestPlacement_WaitsForFirstAnswer(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.newTerm()
	h.submit("j", tasks(1))
	if task := h.task("j", 0); task.Run != 0 {
		t.Fatalf("got task %+v, want no run before the leader has answered the worker in this term", task)
	}
	worker.exchange()
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("got task %+v, want run 1 after the leader answered the worker", task)
	}
}

func TestPlacement_UnacceptedAnswersStopPlacements(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	for range 8 { // heartbeats arrive, but the worker accepts no answer any more
		h.advance(500 * time.Millisecond)
		if _, err := worker.send(); err != nil {
			t.Fatal(err)
		}
	}
	h.submit("j", tasks(1))
	if task := h.task("j", 0); task.Run != 0 {
		t.Errorf("got task %+v, want no run on a worker that receives no answers", task)
	}
}
