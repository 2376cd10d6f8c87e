package record

import (
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

func endless(name string, count int) api.StepSpec {
	made := step(name, count)
	for i := range made.Tasks {
		made.Tasks[i].UntilCancelled = true
	}
	return made
}

func TestTaskUntilCancelledStartsAgainHoweverItEnds(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"))
	r.submit("j", endless("a", 1))
	task := r.task(id("j", "a", 0))
	outcomes := []api.Outcome{
		api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeFailed,
		api.OutcomeStopped, api.OutcomeLost, api.OutcomeSucceeded,
	}
	for i, outcome := range outcomes {
		number := uint32(i + 1)
		r.mustPlace(onWorker(task.ID, number, "w1"))
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

func TestNoReportMakesATaskUntilCancelledFinal(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"))
	r.submit("j", endless("a", 1))
	task := r.task(id("j", "a", 0))
	r.mustPlace(onWorker(task.ID, 1, "w1"))
	r.close(task.ID, 1, api.OutcomeLost)
	for range 2 {
		r.close(task.ID, 1, api.OutcomeSucceeded) // late, and again
		r.close(task.ID, 1, api.OutcomeFailed)
	}
	if task.State != TaskReady || task.Failures != 0 {
		t.Fatalf("state %d with %d failures after late reports", task.State, task.Failures)
	}
	r.mustPlace(onWorker(task.ID, 2, "w1"))
	r.close(task.ID, 1, api.OutcomeSucceeded)
	if task.State != TaskPlaced {
		t.Fatalf("state %d after a report of an earlier run", task.State)
	}
	if outcome := r.submit("j", endless("a", 1)); outcome != SubmitSame || task.State != TaskPlaced {
		t.Fatalf("a resend: outcome %d, state %d", outcome, task.State)
	}
}

func TestOnlyACancelEndsATaskUntilCancelled(t *testing.T) {
	for _, outcome := range []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeStopped, api.OutcomeLost} {
		r := newRig(t)
		r.register(testWorker("w1"))
		r.submit("j", endless("a", 2))
		r.mustPlace(onWorker(id("j", "a", 0), 1, "w1"))
		r.cancel("j")
		r.close(id("j", "a", 0), 1, outcome)
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

// failTimes lets so many runs of a task fail, each after it was at work for some
// time and as soon as the task may run, and returns the pauses after them.
func failTimes(r *rig, task *Task, times int, atWork Millis) []Millis {
	var pauses []Millis
	for range times {
		r.now = max(r.now, task.NotBefore)
		number := task.LastRun + 1
		r.mustPlace(onWorker(task.ID, number, "w1"))
		r.now += atWork
		r.close(task.ID, number, api.OutcomeFailed)
		pauses = append(pauses, task.NotBefore-r.now)
	}
	return pauses
}

func TestPausesOfEndlessTasksAreBounded(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		want  []Millis
	}{
		{"by default", 0, []Millis{200, 400, 800, 1600, 2000, 2000, 2000, 2000}},
		{"a longer first pause", 5 * time.Second, []Millis{5000, 5000, 5000}},
	} {
		r := newRig(t)
		r.putConfig("order-2", 1, api.Config{Queues: []api.QueueConfig{{Name: testQueue}}, Timings: api.TimingConfig{RetryDelay: api.Duration(c.delay)}})
		r.register(testWorker("w1"))
		r.submit("j", endless("a", 1))
		expectPauses(t, c.name, failTimes(r, r.task(id("j", "a", 0)), len(c.want), 100), c.want)
	}
}

// TestFailuresAreCountedAnewAfterALongRun: what broke it is not what broke it before.
func TestFailuresAreCountedAnewAfterALongRun(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"))
	r.submit("j", endless("a", 1))
	task := r.task(id("j", "a", 0))
	expectPauses(t, "short runs", failTimes(r, task, 3, steadyRun-1), []Millis{200, 400, 800})
	expectPauses(t, "after a long one", failTimes(r, task, 1, steadyRun), []Millis{200})
	expectPauses(t, "short ones again", failTimes(r, task, 2, 0), []Millis{400, 800})
	if task.Failures != 3 {
		t.Errorf("%d failures since the long run, want 3", task.Failures)
	}
}

// TestFailuresOfOtherTasksStayCounted: their number is limited.
func TestFailuresOfOtherTasksStayCounted(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"))
	made, most := step("a", 1), 9
	made.Tasks[0].AllowedFailures = &most
	r.submit("j", made)
	want := []Millis{200, 400, 800, 1600, 3200, 6400, 6400, 6400}
	expectPauses(t, "long runs", failTimes(r, r.task(id("j", "a", 0)), len(want), steadyRun), want)
}

func expectPauses(t *testing.T, what string, got, want []Millis) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: pauses %v, want %v", what, got, want)
	}
}
