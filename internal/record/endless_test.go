package record

import (
	"slices"
	"testing"
	"time"

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

// failRepeatedly lets so many runs of a task fail, each after it was at work for some
// time and as soon as the task may run, and returns the pauses after them.
func failRepeatedly(r *harness, task *Task, times int, atWork Millis) []Millis {
	var pauses []Millis
	for range times {
		r.now = max(r.now, task.NotBefore)
		number := task.LastRun + 1
		r.mustPlace(placementOn(task.ID, number, "w1"))
		r.now += atWork
		r.close(task.ID, number, api.OutcomeFailed)
		pauses = append(pauses, task.NotBefore-r.now)
	}
	return pauses
}

func TestUntilCancelled_BackoffIsBounded(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		want  []Millis
	}{
		{"by default", 0, []Millis{200, 400, 800, 1600, 2000, 2000, 2000, 2000}},
		{"a longer first pause", 5 * time.Second, []Millis{5000, 5000, 5000}},
	} {
		r := newHarness(t)
		r.putConfig("order-2", 1, api.Config{Queues: []api.QueueConfig{{Name: testQueue}}, Timings: api.TimingConfig{RetryDelay: api.Duration(c.delay)}})
		r.register(testWorker("w1"))
		r.submit("j", untilCancelledStep("a", 1))
		expectBackoffs(t, c.name, failRepeatedly(r, r.task(taskID("j", "a", 0)), len(c.want), 100), c.want)
	}
}

// TestUntilCancelled_LongRunResetsFailures: what broke it is not what broke it before.
func TestUntilCancelled_LongRunResetsFailures(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submit("j", untilCancelledStep("a", 1))
	task := r.task(taskID("j", "a", 0))
	expectBackoffs(t, "short runs", failRepeatedly(r, task, 3, failureResetAfter-1), []Millis{200, 400, 800})
	expectBackoffs(t, "after a long one", failRepeatedly(r, task, 1, failureResetAfter), []Millis{200})
	expectBackoffs(t, "short ones again", failRepeatedly(r, task, 2, 0), []Millis{400, 800})
	if task.Failures != 3 {
		t.Errorf("%d failures since the long run, want 3", task.Failures)
	}
}

// TestRetryBackoff_LongRunKeepsFailuresOfLimitedTask: their number is limited.
func TestRetryBackoff_LongRunKeepsFailuresOfLimitedTask(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	made, limit := stepSpec("a", 1), 9
	made.Tasks[0].AllowedFailures = &limit
	r.submit("j", made)
	want := []Millis{200, 400, 800, 1600, 3200, 6400, 6400, 6400}
	expectBackoffs(t, "long runs", failRepeatedly(r, r.task(taskID("j", "a", 0)), len(want), failureResetAfter), want)
}

func expectBackoffs(t *testing.T, what string, got, want []Millis) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: pauses %v, want %v", what, got, want)
	}
}
