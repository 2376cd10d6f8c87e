package record

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestCancelJobs_StopsRunsAndEndsWaitingTasks(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w"))
	h.submit("j", stepSpec("a", 3), stepSpec("b", 1, "a"))
	h.mustPlace(placementOn(taskID("j", "a", 0), 1, "w"), placementOn(taskID("j", "a", 1), 1, "w"))
	h.stop(StopDrained, taskID("j", "a", 0))
	h.takeEvents()
	h.cancel("j")
	h.cancel("j")
	expectEvents(t, h, "stopping j/a/0 cancelled", "stopping j/a/1 cancelled", "left j/a/2")
	expect(t, "state right after the cancel", h.status("j").State, api.StateCancelled)
	h.stop(StopPreempted, taskID("j", "a", 0))
	h.close(taskID("j", "a", 0), 1, api.OutcomeFailed)
	h.close(taskID("j", "a", 1), 1, api.OutcomeSucceeded)
	expectEvents(t, h, "closed j/a/0 failed", "closed j/a/1 succeeded", "ended j cancelled")
	tasks := h.status("j").Steps[0].Tasks
	expect(t, "state of the task whose run failed after the cancel", tasks[0].State, api.StateCancelled)
	expect(t, "state of the task whose run succeeded after the cancel", tasks[1].State, api.StateSucceeded)
}

func TestCancelJobs_ArchivesInOneBatch(t *testing.T) {
	h := newHarness(t)
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("j%02d", i))
		h.submit(ids[i], stepSpec("a", 1))
	}
	h.cancel(ids[:98]...)
	expect(t, "archive puts", h.archive.putCalls, 1)
	expect(t, "archived jobs", len(h.archive.jobs), 98)
	h.machine.Read(func(v View) {
		var remaining []string
		for job := range v.Jobs("j98") {
			remaining = append(remaining, job.ID)
		}
		expect(t, "live jobs after j98", fmt.Sprint(remaining), "[j99]")
		expect(t, "live jobs in the queue", v.QueueCounts(testQueue).Jobs, 2)
	})
}
