package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func TestPreemptions_CountedWhenStoppedRunCloses(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w"))
	r.submit("j", stepSpec("a", 2))
	task, lucky := taskID("j", "a", 0), taskID("j", "a", 1)
	r.mustPlace(placementOn(task, 1, "w"), placementOn(lucky, 1, "w"))
	r.stop(StopPreempted, task, lucky)
	expect(t, "not before the close", r.task(task).Preemptions, 0)
	r.close(task, 1, api.OutcomeStopped)
	r.close(lucky, 1, api.OutcomeSucceeded)
	expect(t, "stopped", r.task(task).Preemptions, 1)
	expect(t, "succeeded", r.task(lucky).Preemptions, 0)
	r.mustPlace(placementOn(task, 2, "w"))
	r.stop(StopPreempted, task)
	r.close(task, 2, api.OutcomeFailed)
	r.now += 1000 // the pause after a failure
	r.mustPlace(placementOn(task, 3, "w"))
	r.stop(StopDrained, task)
	r.close(task, 3, api.OutcomeStopped)
	expect(t, "failures", r.task(task).Failures, 1)
	expect(t, "drained is none", r.task(task).Preemptions, 2)
	restored(t, snapshotBytes(t, r.machine), r.archive).Read(func(v View) {
		copied, _ := v.Task(task)
		expect(t, "in the snapshot", copied.Preemptions, 2)
	})
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
