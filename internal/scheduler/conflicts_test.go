package scheduler

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

var everyOutcome = []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeStopped}

func TestConflicts_EndOfRunOpenElsewhereIsIgnored(t *testing.T) {
	for _, outcome := range everyOutcome {
		h := newHarness(t)
		worker := h.runningOne()
		stranger := h.worker("stranger", "s-1")
		stranger.exchange()
		stranger.heartbeat.Ended = []api.EndedRun{{RunRef: worker.heartbeat.Running[0], Outcome: outcome}}
		if answer := stranger.exchange(); len(answer.Acknowledged) != 1 || len(answer.Start) != 0 {
			t.Fatalf("%s: %+v", outcome, answer)
		}
		if answer := worker.exchange(); len(answer.Stop)+len(answer.Start) != 0 {
			t.Errorf("%s: the run that goes on was touched: %+v", outcome, answer)
		}
		if task := h.task("j", 0); task.State != api.StateRunning || task.Run != 1 || task.Failures != 0 {
			t.Errorf("%s: %+v", outcome, task)
		}
	}
}

func TestConflicts_RunOpenElsewhereIsStopped(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	stranger := h.worker("stranger", "s-1")
	stranger.exchange()
	stranger.heartbeat.Running = worker.heartbeat.Running
	if answer := stranger.exchange(); len(answer.Stop) != 1 {
		t.Errorf("want a stop, got %+v", answer)
	}
	if answer := worker.exchange(); len(answer.Stop) != 0 {
		t.Errorf("the run that goes on was stopped: %+v", answer)
	}
}

func TestConflicts_EndOfUnassignedRunIsIgnored(t *testing.T) {
	for _, outcome := range everyOutcome {
		h := newHarness(t)
		worker := h.worker("w", "w-1")
		worker.exchange()
		h.submit("j", tasks(1)) // placed, and not assigned yet
		worker.heartbeat.Ended = []api.EndedRun{{RunRef: api.RunRef{Task: "j/s/0", Run: 1}, Outcome: outcome}}
		if answer := worker.exchange(); len(answer.Start) != 0 || len(answer.Acknowledged) != 1 {
			t.Fatalf("%s: %+v", outcome, answer)
		}
		answer := worker.exchange()
		if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
			t.Errorf("%s: want run 2, got %+v", outcome, answer.Start)
		}
		if task := h.task("j", 0); task.Failures != 0 {
			t.Errorf("%s: %d failures", outcome, task.Failures)
		}
	}
}

func TestConflicts_UnassignedRunningRunIsNotAssignedAgain(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	worker.heartbeat.Running = []api.RunRef{{Task: "j/s/0", Run: 1}}
	if answer := worker.exchange(); len(answer.Start)+len(answer.Stop) != 0 {
		t.Fatalf("%+v", answer)
	}
	worker.end(api.OutcomeSucceeded)
	worker.exchange()
	h.wantState("j", api.StateSucceeded)
}

func TestConflicts_EndOfUnknownTaskIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	for _, outcome := range everyOutcome {
		worker.heartbeat.Ended = []api.EndedRun{{RunRef: api.RunRef{Task: "none/s/0", Run: 1}, Outcome: outcome}}
		if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
			t.Errorf("%s: %+v", outcome, answer)
		}
	}
}

// TestConflicts_StoppedRunKeepsCapacityUntilEndIsReported: whatever the stop is for.
func TestConflicts_StoppedRunKeepsCapacityUntilEndIsReported(t *testing.T) {
	reasons := []record.StopReason{record.StopPreempted, record.StopDrained, record.StopGang, record.StopStalled}
	for _, reason := range reasons {
		h := newHarness(t)
		worker := h.worker("w", "w-1")
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
				t.Fatalf("%s: want stops alone while the runs go on, got %+v", reason, answer)
			}
		}
		worker.end(api.OutcomeStopped)
		worker.exchange()
		if answer := worker.exchange(); len(answer.Start) != 4 {
			t.Errorf("%s: want the capacity given out, got %+v", reason, answer.Start)
		}
	}
}
