package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

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
