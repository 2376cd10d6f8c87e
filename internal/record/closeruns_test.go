package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func TestPreemptions_CountedWhenStoppedRunCloses(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w"))
	h.submit("j", stepSpec("a", 2))
	task, succeeding := taskID("j", "a", 0), taskID("j", "a", 1)
	h.mustPlace(placementOn(task, 1, "w"), placementOn(succeeding, 1, "w"))
	h.stop(StopPreempted, task, succeeding)
	expect(t, "preemptions before the run closes", h.task(task).Preemptions, 0)
	h.close(task, 1, api.OutcomeStopped)
	h.close(succeeding, 1, api.OutcomeSucceeded)
	expect(t, "preemptions of the stopped task", h.task(task).Preemptions, 1)
	expect(t, "preemptions of the succeeded task", h.task(succeeding).Preemptions, 0)
	h.mustPlace(placementOn(task, 2, "w"))
	h.stop(StopPreempted, task)
	h.close(task, 2, api.OutcomeFailed)
	h.now += 1000 // the backoff after a failure
	h.mustPlace(placementOn(task, 3, "w"))
	h.stop(StopDrained, task)
	h.close(task, 3, api.OutcomeStopped)
	expect(t, "failures", h.task(task).Failures, 1)
	expect(t, "preemptions after a drain", h.task(task).Preemptions, 2)
	restoredMachine := restoreMachine(t, snapshotBytes(t, h.machine), h.archive)
	expect(t, "preemptions after a restore", restoredMachine.state.jobs.task(task).Preemptions, 2)
}

// TestPreemptions_SuccessNotCounted guards against counting a preemption for a run
// that succeeded after its preemption was requested. It uses a task that runs until
// cancelled, which is ready again after the success.
func TestPreemptions_SuccessNotCounted(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w"))
	h.submit("j", untilCancelledStep("a", 1))
	task := taskID("j", "a", 0)
	h.mustPlace(placementOn(task, 1, "w"))
	h.stop(StopPreempted, task)
	h.close(task, 1, api.OutcomeSucceeded)
	expect(t, "state", h.task(task).State, TaskReady)
	expect(t, "preemptions", h.task(task).Preemptions, 0)
}

func TestCloseRuns_FailuresDelayAndExhaustRetries(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w"))
	a := stepSpec("a", 2)
	zero := 0
	a.Tasks[1].AllowedFailures = &zero
	h.submit("j", a, stepSpec("b", 1, "a"), stepSpec("c", 1, "b"), stepSpec("d", 1))
	first := taskID("j", "a", 0)
	h.mustPlace(placementOn(first, 1, "w"), placementOn(taskID("j", "a", 1), 1, "w"))
	h.takeEvents()
	h.close(first, 1, api.OutcomeFailed)
	expectEvents(t, h, "closed j/a/0 failed", "ready j/a/0")
	expect(t, "NotBefore", h.task(first).NotBefore, 1200)
	h.mustRejectAll(placementOn(first, 2, "w"))
	h.now += 200
	h.mustRejectAll(placementOn(first, 3, "w"))
	h.mustPlace(placementOn(first, 2, "w"))

	h.close(taskID("j", "a", 1), 1, api.OutcomeFailed)
	expect(t, "state of the task without retries", h.task(taskID("j", "a", 1)).State, TaskFailed)
	expect(t, "state of a transitive dependent", h.task(taskID("j", "c", 0)).State, TaskCancelled)
	expect(t, "reason of a transitive dependent", h.task(taskID("j", "c", 0)).Reason, `step "a" failed`)
	expect(t, "state of the other task of the failed step", h.task(first).State, TaskPlaced)
	expect(t, "state of an independent step", h.task(taskID("j", "d", 0)).State, TaskReady)
	h.close(first, 2, api.OutcomeLost)
	expect(t, "failures after a lost run", h.task(first).Failures, 1)
	h.mustPlace(placementOn(first, 3, "w"), placementOn(taskID("j", "d", 0), 1, "w"))
	h.close(first, 3, api.OutcomeFailed)
	h.takeEvents()
	h.close(taskID("j", "d", 0), 1, api.OutcomeSucceeded)
	expectEvents(t, h, "closed j/d/0 succeeded", "ended j failed")
}

func TestCloseRuns_LateSuccessEndsWaitingTask(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w"))
	h.submit("j", stepSpec("a", 2))
	older, newest := taskID("j", "a", 0), taskID("j", "a", 1)
	h.mustPlace(placementOn(older, 1, "w"), placementOn(newest, 1, "w"))
	h.close(older, 1, api.OutcomeLost)
	h.close(newest, 1, api.OutcomeLost)
	h.mustPlace(placementOn(older, 2, "w"))
	h.takeEvents()
	h.close(older, 1, api.OutcomeSucceeded)
	h.close(newest, 1, api.OutcomeFailed)
	expectEvents(t, h)
	h.close(newest, 1, api.OutcomeSucceeded)
	expectEvents(t, h, "left j/a/1")
	expect(t, "state of the task with a newer run", h.task(older).State, TaskPlaced)
	h.close(older, 2, api.OutcomeLost)
	h.takeEvents()
	h.close(older, 3, api.OutcomeSucceeded)
	expectEvents(t, h) // no run 3 was placed
	h.close(older, 1, api.OutcomeSucceeded)
	expectEvents(t, h, "left j/a/0", "ended j succeeded")
}
