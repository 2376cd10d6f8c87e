package scheduler

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

var allOutcomes = []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeStopped}

func TestConflicts_EndOfRunOpenElsewhereIsIgnored(t *testing.T) {
	for _, outcome := range allOutcomes {
		h := newHarness(t)
		worker := h.runningOne()
		other := h.newWorker("stranger", "s-1")
		other.exchange()
		other.heartbeat.Ended = []api.EndedRun{{RunRef: worker.heartbeat.Running[0], Outcome: outcome}}
		if answer := other.exchange(); len(answer.Acknowledged) != 1 || len(answer.Start) != 0 {
			t.Fatalf("%s: got %+v, want the report acknowledged and no start", outcome, answer)
		}
		if answer := worker.exchange(); len(answer.Stop)+len(answer.Start) != 0 {
			t.Errorf("%s: got %+v, want no start and no stop for the running run", outcome, answer)
		}
		if task := h.task("j", 0); task.State != api.StateRunning || task.Run != 1 || task.Failures != 0 {
			t.Errorf("%s: got %+v, want run 1 running without failures", outcome, task)
		}
	}
}

func TestConflicts_RunOpenElsewhereIsStopped(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	other := h.newWorker("stranger", "s-1")
	other.exchange()
	other.heartbeat.Running = worker.heartbeat.Running
	if answer := other.exchange(); len(answer.Stop) != 1 {
		t.Errorf("got %+v, want the run stopped on the other worker", answer)
	}
	if answer := worker.exchange(); len(answer.Stop) != 0 {
		t.Errorf("got %+v, want no stop on the worker of the open run", answer)
	}
}

func TestConflicts_EndOfUnassignedRunIsIgnored(t *testing.T) {
	for _, outcome := range allOutcomes {
		h := newHarness(t)
		worker := h.newWorker("w", "w-1")
		worker.exchange()
		h.submit("j", tasks(1)) // placed and not assigned yet
		worker.heartbeat.Ended = []api.EndedRun{{RunRef: api.RunRef{Task: "j/s/0", Run: 1}, Outcome: outcome}}
		if answer := worker.exchange(); len(answer.Start) != 0 || len(answer.Acknowledged) != 1 {
			t.Fatalf("%s: got %+v, want the report acknowledged and no start", outcome, answer)
		}
		answer := worker.exchange()
		if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
			t.Errorf("%s: got %+v, want run 2", outcome, answer.Start)
		}
		if task := h.task("j", 0); task.Failures != 0 {
			t.Errorf("%s: got %d failures, want 0", outcome, task.Failures)
		}
	}
}

func TestConflicts_UnassignedRunningRunIsNotAssignedAgain(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	worker.heartbeat.Running = []api.RunRef{{Task: "j/s/0", Run: 1}}
	if answer := worker.exchange(); len(answer.Start)+len(answer.Stop) != 0 {
		t.Fatalf("got %+v, want no start and no stop", answer)
	}
	worker.endAllRuns(api.OutcomeSucceeded)
	worker.exchange()
	h.wantState("j", api.StateSucceeded)
}

func TestConflicts_EndOfUnknownTaskIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	for _, outcome := range allOutcomes {
		worker.heartbeat.Ended = []api.EndedRun{{RunRef: api.RunRef{Task: "none/s/0", Run: 1}, Outcome: outcome}}
		if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
			t.Errorf("%s: got %+v, want the report acknowledged", outcome, answer)
		}
	}
}

// TestConflicts_StoppedRunKeepsCapacityUntilEndIsReported guards against placing runs in the
// capacity of a run that was asked to stop, for whatever reason, and may still be running.
func TestConflicts_StoppedRunKeepsCapacityUntilEndIsReported(t *testing.T) {
	reasons := []record.StopReason{record.StopPreempted, record.StopDrained, record.StopGang, record.StopStalled}
	for _, reason := range reasons {
		h := newHarness(t)
		worker := h.newWorker("w", "w-1")
		worker.exchange()
		gang := tasks(4) // fills the worker
		gang.Lockstep = true
		h.submit("j", gang)
		worker.exchange()
		worker.exchange()
		h.leader.mu.Lock()
		h.leader.proposer.enqueueStop(h.leader.assignments.openByTask[testTask()], reason)
		h.leader.mu.Unlock()
		h.settle()
		h.submit("next", tasks(4))
		for range 3 {
			if answer := worker.exchange(); len(answer.Start) != 0 || len(answer.Stop) != 4 {
				t.Fatalf("%s: got %+v, want 4 stops and no start while the runs are running", reason, answer)
			}
		}
		worker.endAllRuns(api.OutcomeStopped)
		worker.exchange()
		if answer := worker.exchange(); len(answer.Start) != 4 {
			t.Errorf("%s: got %+v, want 4 starts in the freed capacity", reason, answer.Start)
		}
	}
}
