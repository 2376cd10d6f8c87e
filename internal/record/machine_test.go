package record

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

func expectEvents(t *testing.T, r *harness, expected ...string) {
	t.Helper()
	if diff := cmp.Diff(expected, r.takeEvents()); diff != "" {
		t.Fatalf("events (-expected +got):\n%s", diff)
	}
}

func expect[T comparable](t *testing.T, what string, got, expected T) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, expected %v", what, got, expected)
	}
}

func TestJob_RunsThroughItsSteps(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w"))
	r.submit("j", stepSpec("a", 2), stepSpec("b", 1, "a", "a"))
	expectEvents(t, r, "worker w-1", "added j", "ready j/a/0", "ready j/a/1")
	expect(t, "state", r.status("j").State, api.StatePending)
	expect(t, "reason", r.status("j").Steps[1].Tasks[0].Reason, `waits for step "a"`)

	r.mustRejectAll(placementOn(taskID("j", "b", 0), 1, "w"))
	r.mustPlace(placementOn(taskID("j", "a", 0), 1, "w"), placementOn(taskID("j", "a", 1), 1, "w"))
	expect(t, "state", r.status("j").State, api.StateRunning)
	r.close(taskID("j", "a", 0), 1, api.OutcomeSucceeded)
	r.close(taskID("j", "a", 1), 1, api.OutcomeSucceeded)
	expectEvents(t, r, "opened j/a/0", "opened j/a/1", "closed j/a/0 succeeded",
		"closed j/a/1 succeeded", "ready j/b/0")

	r.mustPlace(placementOn(taskID("j", "b", 0), 1, "w"))
	r.now += 50
	r.close(taskID("j", "b", 0), 1, api.OutcomeSucceeded)
	expectEvents(t, r, "opened j/b/0", "closed j/b/0 succeeded", "ended j succeeded")
	status := r.status("j")
	expect(t, "state", status.State, api.StateSucceeded)
	expect(t, "archived", status.Archived, true)
	expect(t, "ended at", status.EndedAt.UnixMilli(), 1050)
	r.machine.Read(func(v View) {
		expect(t, "used", v.UsedResources("w-1"), api.Resources{})
		expect(t, "counts", v.QueueCounts(testQueue), QueueCounts{})
	})
}

func TestSubmitJob_Outcomes(t *testing.T) {
	r := newHarness(t)
	expect(t, "first", r.submit("j", stepSpec("a", 1)), SubmitAccepted)
	expect(t, "same", r.submit("j", stepSpec("a", 1)), SubmitDuplicate)
	expect(t, "other", r.submit("j", stepSpec("a", 2)), SubmitConflict)
	expect(t, "queue", r.submitTo("none", "k", stepSpec("a", 1)), SubmitUnknownQueue)
	r.cancel("j")
	expect(t, "archived same", r.submit("j", stepSpec("a", 1)), SubmitDuplicate)
	expect(t, "archived other", r.submit("j", stepSpec("a", 2)), SubmitConflict)
	r.cancel("j", "unknown")
	expect(t, "puts", r.archive.puts, 1)
}

func TestCloseRuns_FailuresDelayAndExhaustRetries(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w"))
	a := stepSpec("a", 2)
	none := 0
	a.Tasks[1].AllowedFailures = &none
	r.submit("j", a, stepSpec("b", 1, "a"), stepSpec("c", 1, "b"), stepSpec("d", 1))
	first := taskID("j", "a", 0)
	r.mustPlace(placementOn(first, 1, "w"), placementOn(taskID("j", "a", 1), 1, "w"))
	r.takeEvents()
	r.close(first, 1, api.OutcomeFailed)
	expectEvents(t, r, "closed j/a/0 failed", "ready j/a/0")
	expect(t, "not before", r.task(first).NotBefore, 1200)
	r.mustRejectAll(placementOn(first, 2, "w"))
	r.now += 200
	r.mustRejectAll(placementOn(first, 3, "w"))
	r.mustPlace(placementOn(first, 2, "w"))

	r.close(taskID("j", "a", 1), 1, api.OutcomeFailed)
	expect(t, "final", r.task(taskID("j", "a", 1)).State, TaskFailed)
	expect(t, "transitive", r.task(taskID("j", "c", 0)).State, TaskCancelled)
	expect(t, "reason", r.task(taskID("j", "c", 0)).Reason, `step "a" failed`)
	expect(t, "other member goes on", r.task(first).State, TaskPlaced)
	expect(t, "independent step goes on", r.task(taskID("j", "d", 0)).State, TaskReady)
	r.close(first, 2, api.OutcomeLost)
	expect(t, "lost is no failure", r.task(first).Failures, 1)
	r.mustPlace(placementOn(first, 3, "w"), placementOn(taskID("j", "d", 0), 1, "w"))
	r.close(first, 3, api.OutcomeFailed)
	r.takeEvents()
	r.close(taskID("j", "d", 0), 1, api.OutcomeSucceeded)
	expectEvents(t, r, "closed j/d/0 succeeded", "ended j failed")
}

func TestRetryBackoff_IsBounded(t *testing.T) {
	m := newHarness(t).machine
	for failures, expected := range map[int]Millis{1: 200, 2: 400, 6: 6400, 7: 6400, 90: 6400} {
		expect(t, fmt.Sprint(failures), m.backoffAfter(failures), expected)
	}
}

func TestCancelJobs_StopsRunsAndEndsWaitingTasks(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w"))
	r.submit("j", stepSpec("a", 3), stepSpec("b", 1, "a"))
	r.mustPlace(placementOn(taskID("j", "a", 0), 1, "w"), placementOn(taskID("j", "a", 1), 1, "w"))
	r.stop(StopDrained, taskID("j", "a", 0))
	r.takeEvents()
	r.cancel("j")
	r.cancel("j")
	expectEvents(t, r, "stopping j/a/0 cancelled", "stopping j/a/1 cancelled", "left j/a/2")
	expect(t, "at once", r.status("j").State, api.StateCancelled)
	r.stop(StopPreempted, taskID("j", "a", 0))
	r.close(taskID("j", "a", 0), 1, api.OutcomeFailed)
	r.close(taskID("j", "a", 1), 1, api.OutcomeSucceeded)
	expectEvents(t, r, "closed j/a/0 failed", "closed j/a/1 succeeded", "ended j cancelled")
	tasks := r.status("j").Steps[0].Tasks
	expect(t, "stopped", tasks[0].State, api.StateCancelled)
	expect(t, "succeeded", tasks[1].State, api.StateSucceeded)
}

func TestCancelJobs_ArchivesInOneBatch(t *testing.T) {
	r := newHarness(t)
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("j%02d", i))
		r.submit(ids[i], stepSpec("a", 1))
	}
	r.cancel(ids[:98]...)
	expect(t, "puts", r.archive.puts, 1)
	expect(t, "archived", len(r.archive.jobs), 98)
	r.machine.Read(func(v View) {
		var left []string
		for job := range v.Jobs("j98") {
			left = append(left, job.ID)
		}
		expect(t, "after", fmt.Sprint(left), "[j99]")
		expect(t, "jobs", v.QueueCounts(testQueue).Jobs, 2)
	})
}

// TestStopRuns_StopIsNoFailureButFailureCounts: a stop is none, but what a worker reports as
// failed has failed, also after the run was to be stopped; so a task out of
// failures is not started again.
func TestStopRuns_StopIsNoFailureButFailureCounts(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w"))
	twice := 2
	limited := stepSpec("a", 1)
	limited.Tasks[0].AllowedFailures = &twice
	r.submit("j", limited)
	task := taskID("j", "a", 0)
	r.mustPlace(placementOn(task, 1, "w"))
	r.stop(StopDrained, task)
	r.stop(StopPreempted, task)
	expect(t, "first reason", r.task(task).Run.Stop, StopDrained)
	r.close(task, 1, api.OutcomeStopped)
	expect(t, "failures after a stop", r.task(task).Failures, 0)
	expect(t, "state after a stop", r.task(task).State, TaskReady)

	r.mustPlace(placementOn(task, 2, "w"))
	r.stop(StopDrained, task)
	r.close(task, 2, api.OutcomeFailed)
	expect(t, "failures", r.task(task).Failures, 1)
	r.now += 100_000
	r.mustPlace(placementOn(task, 3, "w"))
	r.stop(StopPreempted, task)
	r.close(task, 3, api.OutcomeFailed)
	expect(t, "state of the job", r.status("j").State, api.StateFailed)
}

func TestCloseRuns_LateSuccessEndsWaitingTask(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w"))
	r.submit("j", stepSpec("a", 2))
	older, newest := taskID("j", "a", 0), taskID("j", "a", 1)
	r.mustPlace(placementOn(older, 1, "w"), placementOn(newest, 1, "w"))
	r.close(older, 1, api.OutcomeLost)
	r.close(newest, 1, api.OutcomeLost)
	r.mustPlace(placementOn(older, 2, "w"))
	r.takeEvents()
	r.close(older, 1, api.OutcomeSucceeded)
	r.close(newest, 1, api.OutcomeFailed)
	expectEvents(t, r)
	r.close(newest, 1, api.OutcomeSucceeded)
	expectEvents(t, r, "left j/a/1")
	expect(t, "newer run stands", r.task(older).State, TaskPlaced)
	r.close(older, 2, api.OutcomeLost)
	r.takeEvents()
	r.close(older, 3, api.OutcomeSucceeded)
	expectEvents(t, r) // no such run was placed
	r.close(older, 1, api.OutcomeSucceeded)
	expectEvents(t, r, "left j/a/0", "ended j succeeded")
}

func TestRegisterWorkers_ReplacesIncarnationsWithoutRuns(t *testing.T) {
	r := newHarness(t)
	w := testWorker("w")
	r.register(w)
	r.register(w)
	expectEvents(t, r, "worker w-1")
	r.submit("j", stepSpec("a", 1))
	r.mustPlace(placementOn(taskID("j", "a", 0), 1, "w"))
	next := w
	next.ID = "w-2"
	expect(t, "runs are open", fmt.Sprint(r.register(next)), "[w]")
	thief := w
	thief.Name = "thief"
	expect(t, "id is taken", fmt.Sprint(r.register(thief)), "[thief]")
	r.takeEvents()
	r.apply(Command{ForgetWorkers: &ForgetWorkers{Names: []string{"w"}}})
	w.Zone = "z9"
	r.register(w)
	r.close(taskID("j", "a", 0), 1, api.OutcomeLost)
	r.register(next)
	r.apply(Command{ForgetWorkers: &ForgetWorkers{Names: []string{"w", "none"}}})
	expectEvents(t, r, "worker w-1", "closed j/a/0 lost", "ready j/a/0", "worker w-2", "forgotten w-2")
}

func TestExpireArchive_DropsOnlyAfterDurableSnapshot(t *testing.T) {
	r := newHarness(t)
	r.submit("j", stepSpec("a", 1))
	r.cancel("j")
	r.now = 5000
	expire := Command{ExpireArchive: &ExpireArchive{Before: 2000, Limit: 10}}
	r.apply(expire)
	r.machine.Read(func(v View) {
		_, known, _ := v.Status("j", nil)
		expect(t, "hidden at once", known, false)
	})
	snapshotBytes(t, r.machine)
	r.apply(expire)
	expect(t, "one snapshot may not be durable", len(r.archive.jobs), 1)
	snapshotBytes(t, r.machine)
	r.apply(expire)
	expect(t, "dropped", len(r.archive.jobs), 0)
	expect(t, "id is free again", r.submit("j", stepSpec("b", 1)), SubmitAccepted)
}

func TestClock_IsMonotonic(t *testing.T) {
	r := newHarness(t)
	r.now = 500
	r.submit("j", stepSpec("a", 1))
	expect(t, "submitted at", r.status("j").SubmittedAt.UnixMilli(), 1000)
}

func TestObserve_NoGapAndNothingAfterStop(t *testing.T) {
	r := newHarness(t)
	r.submit("j", stepSpec("a", 1))
	jobs, events := 0, 0
	stop := r.machine.Observe(
		func(v View) {
			for range v.Jobs("") {
				jobs++
			}
		},
		func(Event) { events++ },
	)
	r.submit("k", stepSpec("a", 1))
	stop()
	r.submit("l", stepSpec("a", 1))
	expect(t, "jobs at start", jobs, 1)
	expect(t, "events", events, 2)
}
