package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// TestLease_ExpiresOnceUntilAnswered guards against a worker that is never answered: if an
// expired lease expired again at each tick, every heartbeat with reports would be
// superseded while a commit takes longer than a tick.
func TestLease_ExpiresOnceUntilAnswered(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.endAllRuns(api.OutcomeSucceeded)
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.log.duringProposal = func() { h.leader.tick() }
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("got acknowledged %+v, want the one report", answer.Acknowledged)
	}
}

// TestLease_RunOpenedAfterExpiryIsClosed guards against a run that stays open on an expired
// worker because its placement was being committed while the lease expired.
func TestLease_RunOpenedAfterExpiryIsClosed(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
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
		t.Errorf("got %d open runs and %d waiting tasks, want 0 and 1", len(h.leader.assignments.runs), len(h.leader.pending.waiting))
	}
}

func TestLease_RunsAreLostOnlyAfterExpiryAndDriftMargin(t *testing.T) {
	h := newHarness(t)
	h.startRunning("a", 1)
	other := h.newWorker("b", "b-1")
	other.exchange()
	h.advance(testLease + testDriftMargin)
	other.exchange()
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Fatalf("got %+v, want no start on b before the lease of a expires", answer.Start)
	}
	h.advance(time.Millisecond)
	answer := other.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("got %+v, want run 2 on b", answer.Start)
	}
}

func TestLease_NewTermAssumesUnexpiredLeases(t *testing.T) {
	h := newHarness(t)
	h.startRunning("a", 1)
	other := h.newWorker("b", "b-1")
	h.advance(testLease)
	h.newTerm()
	other.exchange()
	h.advance(testLease - time.Second)
	other.exchange() // extends its own lease
	h.advance(time.Second + testDriftMargin)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Fatalf("got %+v, want no start within one lease after the start of the term", answer.Start)
	}
	h.advance(time.Millisecond)
	if answer := other.exchange(); len(answer.Start) != 1 {
		t.Fatalf("got %+v, want a start on b after the lease", answer.Start)
	}
}

func TestLease_NewIncarnationWaitsForOldExpiry(t *testing.T) {
	h := newHarness(t)
	earlier := h.startRunning("w", 1)
	later := h.newWorker("w", "w-2")
	h.advance(testLease)
	if answer := later.exchange(); len(answer.Start) != 0 {
		t.Fatalf("got %+v, want no start on the new incarnation before the old lease expires", answer.Start)
	}
	h.advance(testDriftMargin + time.Millisecond)
	later.exchange()
	answer := later.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("got %+v, want run 2 on the new incarnation", answer.Start)
	}
	if answer := earlier.exchange(); len(answer.Stop) != 1 {
		t.Errorf("got %+v, want the run stopped on the old incarnation", answer)
	}
}
