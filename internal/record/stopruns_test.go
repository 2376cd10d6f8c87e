package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

// TestStopRuns_OnlyReportedFailureCounts guards against restarting a task that has used
// up its failures. A run reported as stopped is not a failure. A run reported as failed
// is one, also after a stop was requested.
func TestStopRuns_OnlyReportedFailureCounts(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w"))
	twice := 2
	limited := stepSpec("a", 1)
	limited.Tasks[0].AllowedFailures = &twice
	h.submit("j", limited)
	task := taskID("j", "a", 0)
	h.mustPlace(placementOn(task, 1, "w"))
	h.stop(StopDrained, task)
	h.stop(StopPreempted, task)
	expect(t, "stop reason after two requests", h.task(task).Run.Stop, StopDrained)
	h.close(task, 1, api.OutcomeStopped)
	expect(t, "failures after a stop", h.task(task).Failures, 0)
	expect(t, "state after a stop", h.task(task).State, TaskReady)

	h.mustPlace(placementOn(task, 2, "w"))
	h.stop(StopDrained, task)
	h.close(task, 2, api.OutcomeFailed)
	expect(t, "failures", h.task(task).Failures, 1)
	h.now += 100_000
	h.mustPlace(placementOn(task, 3, "w"))
	h.stop(StopPreempted, task)
	h.close(task, 3, api.OutcomeFailed)
	expect(t, "state of the job", h.status("j").State, api.StateFailed)
}
