package scheduler

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func TestGang_LostAssignmentRequeuesWholeGang(t *testing.T) {
	h := newHarness(t)
	first, second := h.worker("a", "a-1"), h.worker("b", "b-1")
	first.exchange()
	second.exchange()
	gang := tasks(8) // fills both workers
	gang.Together = true
	h.submit("g", gang)
	if answer := first.exchange(); len(answer.Start) != 4 {
		t.Fatalf("want 4 members here, got %+v", answer.Start)
	}
	if answer, err := second.send(); err != nil || len(answer.Start) != 4 {
		t.Fatalf("want 4 members there, got %+v, %v", answer, err)
	}
	second.exchange() // shows that the answer before was not accepted
	if answer := first.exchange(); len(answer.Stop) != 4 {
		t.Fatalf("want the 4 started members stopped, got %+v", answer)
	}
	if answer := second.exchange(); len(answer.Start) != 0 {
		t.Fatalf("members started alone: %+v", answer.Start)
	}
	first.end(api.OutcomeStopped)
	first.exchange()
	again := len(first.exchange().Start) + len(second.exchange().Start)
	if again != 8 {
		t.Errorf("want all 8 members together again, got %d", again)
	}
}
