package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func untilCancelledStep(name string, count int) api.StepSpec {
	made := stepSpec(name, count)
	for i := range made.Tasks {
		made.Tasks[i].UntilCancelled = true
	}
	return made
}

func TestUntilCancelled_ReadyAgainAfterEveryOutcome(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submit("j", untilCancelledStep("a", 1))
	task := r.task(taskID("j", "a", 0))
	outcomes := []api.Outcome{
		api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeFailed,
		api.OutcomeStopped, api.OutcomeLost, api.OutcomeSucceeded,
	}
	for i, outcome := range outcomes {
		number := uint32(i + 1)
		r.mustPlace(placementOn(task.ID, number, "w1"))
		r.close(task.ID, number, outcome)
		if task.State != TaskReady || task.Run != nil {
			t.Fatalf("state %d after run %d %s", task.State, number, outcome)
		}
		waits := task.NotBefore > r.now
		if waits != (outcome == api.OutcomeFailed) {
			t.Fatalf("not before %d at %d after run %d %s", task.NotBefore, r.now, number, outcome)
		}
		r.now = max(r.now, task.NotBefore)
	}
	if task.Failures != 3 || task.AllowedFailures != 2 {
		t.Fatalf("%d failures of %d", task.Failures, task.AllowedFailures)
	}
}

func TestUntilCancelled_LateReportsDoNotEndTask(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submit("j", untilCancelledStep("a", 1))
	task := r.task(taskID("j", "a", 0))
	r.mustPlace(placementOn(task.ID, 1, "w1"))
	r.close(task.ID, 1, api.OutcomeLost)
	for range 2 {
		r.close(task.ID, 1, api.OutcomeSucceeded) // late, and again
		r.close(task.ID, 1, api.OutcomeFailed)
	}
	if task.State != TaskReady || task.Failures != 0 {
		t.Fatalf("state %d with %d failures after late reports", task.State, task.Failures)
	}
	r.mustPlace(placementOn(task.ID, 2, "w1"))
	r.close(task.ID, 1, api.OutcomeSucceeded)
	if task.State != TaskPlaced {
		t.Fatalf("state %d after a report of an earlier run", task.State)
	}
	if outcome := r.submit("j", untilCancelledStep("a", 1)); outcome != SubmitDuplicate || task.State != TaskPlaced {
		t.Fatalf("a resend: outcome %d, state %d", outcome, task.State)
	}
}

func TestUntilCancelled_EndedOnlyByCancel(t *testing.T) {
	for _, outcome := range []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeStopped, api.OutcomeLost} {
		r := newHarness(t)
		r.register(testWorker("w1"))
		r.submit("j", untilCancelledStep("a", 2))
		r.mustPlace(placementOn(taskID("j", "a", 0), 1, "w1"))
		r.cancel("j")
		r.close(taskID("j", "a", 0), 1, outcome)
		status := r.status("j")
		if status.State != api.StateCancelled || !status.Archived {
			t.Fatalf("job %s after the run %s", status.State, outcome)
		}
		for _, task := range status.Steps[0].Tasks {
			if task.State != api.StateCancelled {
				t.Errorf("%s is %s after the run %s", task.Task, task.State, outcome)
			}
		}
	}
}
