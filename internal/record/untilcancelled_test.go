package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

// untilCancelledStep returns a step whose tasks run until cancelled.
func untilCancelledStep(name string, count int) api.StepSpec {
	step := stepSpec(name, count)
	for i := range step.Tasks {
		step.Tasks[i].UntilCancelled = true
	}
	return step
}

func TestUntilCancelled_ReadyAgainAfterEveryOutcome(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submit("j", untilCancelledStep("a", 1))
	task := h.task(taskID("j", "a", 0))
	outcomes := []api.Outcome{
		api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeFailed,
		api.OutcomeStopped, api.OutcomeLost, api.OutcomeSucceeded,
	}
	for i, outcome := range outcomes {
		number := uint32(i + 1)
		h.mustPlace(placementOn(task.ID, number, "w1"))
		h.close(task.ID, number, outcome)
		if task.State != TaskReady || task.Run != nil {
			t.Fatalf("got state %d after run %d ended as %s, want ready without a run", task.State, number, outcome)
		}
		hasBackoff := task.NotBefore > h.now
		if hasBackoff != (outcome == api.OutcomeFailed) {
			t.Fatalf("got NotBefore %d at time %d after run %d ended as %s, want a backoff only after a failure", task.NotBefore, h.now, number, outcome)
		}
		h.now = max(h.now, task.NotBefore)
	}
	if task.Failures != 3 || task.AllowedFailures != 2 {
		t.Fatalf("got %d failures of %d allowed, want 3 of 2", task.Failures, task.AllowedFailures)
	}
}

func TestUntilCancelled_LateReportsDoNotEndTask(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submit("j", untilCancelledStep("a", 1))
	task := h.task(taskID("j", "a", 0))
	h.mustPlace(placementOn(task.ID, 1, "w1"))
	h.close(task.ID, 1, api.OutcomeLost)
	for range 2 {
		h.close(task.ID, 1, api.OutcomeSucceeded) // late reports; the second round repeats them
		h.close(task.ID, 1, api.OutcomeFailed)
	}
	if task.State != TaskReady || task.Failures != 0 {
		t.Fatalf("got state %d with %d failures after late reports, want ready with 0", task.State, task.Failures)
	}
	h.mustPlace(placementOn(task.ID, 2, "w1"))
	h.close(task.ID, 1, api.OutcomeSucceeded)
	if task.State != TaskPlaced {
		t.Fatalf("got state %d after a report of an earlier run, want placed", task.State)
	}
	if outcome := h.submit("j", untilCancelledStep("a", 1)); outcome != SubmitDuplicate || task.State != TaskPlaced {
		t.Fatalf("got outcome %d and state %d after a resend, want a duplicate and a placed task", outcome, task.State)
	}
}

func TestUntilCancelled_EndedOnlyByCancel(t *testing.T) {
	for _, outcome := range []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeStopped, api.OutcomeLost} {
		t.Run(string(outcome), func(t *testing.T) {
			h := newHarness(t)
			h.register(testWorker("w1"))
			h.submit("j", untilCancelledStep("a", 2))
			h.mustPlace(placementOn(taskID("j", "a", 0), 1, "w1"))
			h.cancel("j")
			h.close(taskID("j", "a", 0), 1, outcome)
			status := h.status("j")
			if status.State != api.StateCancelled || !status.Archived {
				t.Fatalf("got job state %s after the run ended as %s, want archived as cancelled", status.State, outcome)
			}
			for _, task := range status.Steps[0].Tasks {
				if task.State != api.StateCancelled {
					t.Errorf("%s: got state %s after the run ended as %s, want cancelled", task.Task, task.State, outcome)
				}
			}
		})
	}
}
