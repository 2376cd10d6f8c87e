package scheduler

import (
	"testing"
	"time"
)

func TestPlacement_WaitsForFirstAnswer(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.newTerm()
	h.submit("j", tasks(1))
	if task := h.task("j", 0); task.Run != 0 {
		t.Fatalf("placed before the worker was heard in this term: %+v", task)
	}
	worker.exchange()
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("not placed after the ready gate opened: %+v", task)
	}
}

func TestPlacement_UnacceptedAnswersStopNewWork(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	for range 8 { // heard, but nothing is accepted any more
		h.advance(500 * time.Millisecond)
		if _, err := worker.send(); err != nil {
			t.Fatal(err)
		}
	}
	h.submit("j", tasks(1))
	if task := h.task("j", 0); task.Run != 0 {
		t.Errorf("placed on a worker that cannot hear: %+v", task)
	}
}
