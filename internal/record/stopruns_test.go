package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

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
