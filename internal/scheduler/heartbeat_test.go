package scheduler

import (
	"context"
	"testing"
)

func TestHeartbeat_RegistersWorkerAfterCallerLeft(t *testing.T) {
	h := newHarness(t)
	gone, leave := context.WithCancel(t.Context())
	leave()
	worker := h.worker("w", "w-1")
	worker.heartbeat.Seq++
	_, _ = h.deliver(gone, worker.heartbeat) // nobody reads the answer
	if !h.leader.registry.byID["w-1"].registered {
		t.Error("not registered")
	}
}

func TestHeartbeat_RepeatedSeqGetsNothing(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	worker.heartbeat.Seq-- // the next send repeats the last seq
	if answer, err := worker.send(); err == nil || len(answer.Start) != 0 {
		t.Errorf("repeated seq was answered with %+v, %v", answer, err)
	}
}

// TestHeartbeat_SecondFollowsFirstPromptly: only the second one brings assignments, since
// the first opens the ready gate.
func TestHeartbeat_SecondFollowsFirstPromptly(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("a", "a-1")
	for term := range 2 {
		if first := worker.exchange(); first.IntervalMillis != promptInterval.Milliseconds() {
			t.Errorf("term %d: the second heartbeat is to come after %d ms", term, first.IntervalMillis)
		}
		if second := worker.exchange(); second.IntervalMillis != 200 {
			t.Errorf("term %d: the third heartbeat is to come after %d ms", term, second.IntervalMillis)
		}
		h.newTerm()
	}
}
