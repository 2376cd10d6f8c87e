package scheduler

import (
	"testing"
	"time"
)

func TestTimers_StepWaitsForClusterClock(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	step := tasks(1)
	notBefore := h.log.clock.Time().Add(time.Second)
	step.NotBefore = &notBefore
	h.submit("timed", step)
	h.advance(999 * time.Millisecond)
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Fatalf("got %+v 1 ms before notBefore, want no assignment", answer.Start)
	}
	h.advance(time.Millisecond)
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Errorf("got %+v at notBefore, want one assignment", answer)
	}
}
