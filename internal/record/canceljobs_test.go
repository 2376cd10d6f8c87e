package record

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

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
