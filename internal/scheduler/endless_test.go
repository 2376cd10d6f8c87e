package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

func TestEndlessTask_SuccessIsAssignedAgain(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	endless := tasks(1)
	endless.Tasks[0].UntilCancelled = true
	h.submit("j", endless)
	for run := uint32(1); run <= 5; run++ {
		orders := worker.exchange().Start
		if len(orders) != 1 || orders[0].Run != run {
			t.Fatalf("run %d: orders %+v", run, orders)
		}
		outcome := api.OutcomeSucceeded
		if run == 3 {
			outcome = api.OutcomeFailed
		}
		worker.end(outcome)
		worker.exchange()
		h.advance(time.Second) // longer than the pause after one failure
	}
}
