package scheduler

import (
	"context"
	"testing"
)

func TestHeartbeat_RegistersWorkerAfterCallerLeft(t *testing.T) {
	h := newHarness(t)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	worker := h.newWorker("w", "w-1")
	worker.heartbeat.Seq++
	_, _ = h.deliver(cancelled, worker.heartbeat) // nobody reads the answer
	if !h.leader.registry.byID["w-1"].registered {
		t.Error("got worker w-1 not registered, want registered")
	}
}

func TestHeartbeat_RepeatedSeqIsRefused(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	worker.heartbeat.Seq-- // so that the next heartbeat has the same seq
	if answer, err := worker.send(); err == nil || len(answer.Start) != 0 {
		t.Errorf("got answer %+v, error %v to a repeated seq, want an error and no starts", answer, err)
	}
}

// TestHeartbeat_SecondFollowsFirstPromptly guards against a worker that is idle for a complete
// heartbeat interval at the start of a term: runs are placed on it only after its first
// answer, so that the second heartbeat is the first that can bring assignments.
func TestHeartbeat_SecondFollowsFirstPromptly(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("a", "a-1")
	for term := range 2 {
		if first := worker.exchange(); first.IntervalMillis != promptInterval.Milliseconds() {
			t.Errorf("term %d: got an interval of %d ms in the first answer, want that of a prompt heartbeat", term, first.IntervalMillis)
		}
		if second := worker.exchange(); second.IntervalMillis != 200 {
			t.Errorf("term %d: got an interval of %d ms in the second answer, want 200", term, second.IntervalMillis)
		}
		h.newTerm()
	}
}
