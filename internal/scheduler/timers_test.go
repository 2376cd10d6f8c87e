package scheduler

import (
	"testing"
	"time"
)

func TestTimers_StepWaitsForClusterClock(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	step := tasks(1)
	notBefore := h.log.clock.Time().Add(time.Second)
	step.NotBefore = &notBefore
	h.submit("timed", step)
	h.advance(999 * time.Millisecond)
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Fatalf("started before its time: %+v", answer.Start)
	}
	h.advance(time.Millisecond)
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Errorf("not started at its time: %+v", answer)
	}
}
