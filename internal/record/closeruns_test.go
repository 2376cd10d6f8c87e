package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func TestPreemptions_CountedWhenStoppedRunCloses(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w"))
	h.submit("j", stepSpec("a", 2))
	task, lucky := taskID("j", "a", 0), taskID("j", "a", 1)
	h.mustPlace(placementOn(task, 1, "w"), placementOn(lucky, 1, "w"))
	h.stop(StopPreempted, task, lucky)
	expect(t, "not before the close", h.task(task).Preemptions, 0)
	h.close(task, 1, api.OutcomeStopped)
	h.close(lucky, 1, api.OutcomeSucceeded)
	expect(t, "stopped", h.task(task).Preemptions, 1)
	expect(t, "succeeded", h.task(lucky).Preemptions, 0)
	h.mustPlace(placementOn(task, 2, "w"))
	h.stop(StopPreempted, task)
	h.close(task, 2, api.OutcomeFailed)
	h.now += 1000 // the backoff after a failure
	h.mustPlace(placementOn(task, 3, "w"))
	h.stop(StopDrained, task)
	h.close(task, 3, api.OutcomeStopped)
	expect(t, "failures", h.task(task).Failures, 1)
	expect(t, "drained is none", h.task(task).Preemptions, 2)
	again := restored(t, snapshotBytes(t, h.machine), h.archive)
	expect(t, "in the snapshot", again.state.jobs.task(task).Preemptions, 2)
}

// TestPreemptions_SuccessOfPreemptedRunIsNone: also of a task that runs until
// cancelled, which is ready again after its success.
func TestPreemptions_SuccessOfPreemptedRunIsNone(t *testing.T) {
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
	none := 0
	a.Tasks[1].AllowedFailures = &none
	h.submit("j", a, stepSpec("b", 1, "a"), stepSpec("c", 1, "b"), stepSpec("d", 1))
	first := taskID("j", "a", 0)
	h.mustPlace(placementOn(first, 1, "w"), placementOn(taskID("j", "a", 1), 1, "w"))
	h.takeEvents()
	h.close(first, 1, api.OutcomeFailed)
	expectEvents(t, h, "closed j/a/0 failed", "ready j/a/0")
	expect(t, "not before", h.task(first).NotBefore, 1200)
	h.mustRejectAll(placementOn(first, 2, "w"))
	h.now += 200
	h.mustRejectAll(placementOn(first, 3, "w"))
	h.mustPlace(placementOn(first, 2, "w"))

	h.close(taskID("j", "a", 1), 1, api.OutcomeFailed)
	expect(t, "final", h.task(taskID("j", "a", 1)).State, TaskFailed)
	expect(t, "transitive", h.task(taskID("j", "c", 0)).State, TaskCancelled)
	expect(t, "reason", h.task(taskID("j", "c", 0)).Reason, `step "a" failed`)
	expect(t, "other member goes on", h.task(first).State, TaskPlaced)
	expect(t, "independent step goes on", h.task(taskID("j", "d", 0)).State, TaskReady)
	h.close(first, 2, api.OutcomeLost)
	expect(t, "lost is no failure", h.task(first).Failures, 1)
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
	expect(t, "newer run stands", h.task(older).State, TaskPlaced)
	h.close(older, 2, api.OutcomeLost)
	h.takeEvents()
	h.close(older, 3, api.OutcomeSucceeded)
	expectEvents(t, h) // no such run was placed
	h.close(older, 1, api.OutcomeSucceeded)
	expectEvents(t, h, "left j/a/0", "ended j succeeded")
}
