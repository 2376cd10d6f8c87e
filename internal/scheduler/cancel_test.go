package scheduler

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func TestCancelMany_ByQueueIsSplitIntoBatches(t *testing.T) {
	const jobs = 2*cancelBatchSize + 1
	h := newHarness(t)
	for i := range jobs {
		h.submit(fmt.Sprintf("j%d", i), tasks(1))
	}
	before := h.log.index
	for _, want := range []int{jobs, 0} {
		answer, err := h.leader.cancelMany(t.Context(), protocol.CancelManyRequest{Cancel: api.CancelRequest{Queue: "q"}})
		if err != nil || answer.Answer.Cancelled != want {
			t.Fatalf("cancelled jobs: want %d, got %+v, %v", want, answer, err)
		}
	}
	if entries := h.log.index - before; entries != 3 {
		t.Errorf("got %d log entries, want 3", entries)
	}
}

func TestCancel_StopsRunsAndStartsNone(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(6)) // the worker has capacity for 4
	worker.exchange()
	answer, err := h.leader.cancel(t.Context(), protocol.CancelRequest{ID: "j"})
	if err != nil || answer.Status.State != api.StateCancelled {
		t.Fatalf("cancel: got %+v, %v, want state cancelled", answer.Status.State, err)
	}
	if answer := worker.exchange(); len(answer.Stop) != 4 || len(answer.Start) != 0 {
		t.Fatalf("got %+v, want 4 stops and no start", answer)
	}
	worker.endAllRuns(api.OutcomeStopped)
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Errorf("cancelled job: got starts %+v, want none", answer.Start)
	}
}
