package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// Otherwise a worker with reports would never be answered while a commit takes
// longer than a tick.
func TestLease_ExpiresOnceUntilAnswered(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.log.whileProposing = func() { h.leader.tick() }
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("acknowledged %+v", answer.Acknowledged)
	}
}

// Its placement may have been under way while the lease expired.
func TestLease_RunOpenedAfterExpiryIsClosed(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	worker.exchange()
	h.submit("j", tasks(1))
	h.now += testLease + testDriftMargin + time.Millisecond
	entry := h.leader.registry.byID["w-1"]
	h.leader.mu.Lock()
	entry.lease.expire()
	h.leader.mu.Unlock()
	h.settle()
	if len(h.leader.assignments.runs) != 0 || len(h.leader.pending.waiting) != 1 {
		t.Errorf("%d runs open, %d tasks wait", len(h.leader.assignments.runs), len(h.leader.pending.waiting))
	}
}

func TestLease_RunsAreLostOnlyAfterExpiryAndDriftMargin(t *testing.T) {
	h := newHarness(t)
	h.running("a", 1)
	other := h.worker("b", "b-1")
	other.exchange()
	h.advance(testLease + testDriftMargin)
	other.exchange()
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Fatalf("task given away while the lease stands: %+v", answer.Start)
	}
	h.advance(time.Millisecond)
	answer := other.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 elsewhere, got %+v", answer.Start)
	}
}

func TestLease_NewTermAssumesEveryWorkerHoldsOne(t *testing.T) {
	h := newHarness(t)
	h.running("a", 1)
	other := h.worker("b", "b-1")
	h.advance(testLease)
	h.newTerm()
	other.exchange()
	h.advance(testLease - time.Second)
	other.exchange() // keeps its own lease
	h.advance(time.Second + testDriftMargin)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Fatalf("given away within a lease of the new term's start: %+v", answer.Start)
	}
	h.advance(time.Millisecond)
	if answer := other.exchange(); len(answer.Start) != 1 {
		t.Fatalf("want the task elsewhere now, got %+v", answer.Start)
	}
}

func TestLease_NewIncarnationWaitsForOldExpiry(t *testing.T) {
	h := newHarness(t)
	earlier := h.running("w", 1)
	later := h.worker("w", "w-2")
	h.advance(testLease)
	if answer := later.exchange(); len(answer.Start) != 0 {
		t.Fatalf("new incarnation got work under the old lease: %+v", answer.Start)
	}
	h.advance(testDriftMargin + time.Millisecond)
	later.exchange()
	answer := later.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 on the new incarnation, got %+v", answer.Start)
	}
	if answer := earlier.exchange(); len(answer.Stop) != 1 {
		t.Errorf("the old incarnation must stop its run, got %+v", answer)
	}
}
