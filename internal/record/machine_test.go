package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func TestJob_RunsStepsInDependencyOrder(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w"))
	h.submit("j", stepSpec("a", 2), stepSpec("b", 1, "a", "a"))
	expectEvents(t, h, "worker w-1", "added j", "ready j/a/0", "ready j/a/1")
	expect(t, "state", h.status("j").State, api.StatePending)
	expect(t, "reason", h.status("j").Steps[1].Tasks[0].Reason, `waits for step "a"`)

	h.mustRejectAll(placementOn(taskID("j", "b", 0), 1, "w"))
	h.mustPlace(placementOn(taskID("j", "a", 0), 1, "w"), placementOn(taskID("j", "a", 1), 1, "w"))
	expect(t, "state", h.status("j").State, api.StateRunning)
	h.close(taskID("j", "a", 0), 1, api.OutcomeSucceeded)
	h.close(taskID("j", "a", 1), 1, api.OutcomeSucceeded)
	expectEvents(t, h, "opened j/a/0", "opened j/a/1", "closed j/a/0 succeeded",
		"closed j/a/1 succeeded", "ready j/b/0")

	h.mustPlace(placementOn(taskID("j", "b", 0), 1, "w"))
	h.now += 50
	h.close(taskID("j", "b", 0), 1, api.OutcomeSucceeded)
	expectEvents(t, h, "opened j/b/0", "closed j/b/0 succeeded", "ended j succeeded")
	status := h.status("j")
	expect(t, "state", status.State, api.StateSucceeded)
	expect(t, "archived", status.Archived, true)
	expect(t, "ended at", status.EndedAt.UnixMilli(), 1050)
	h.machine.Read(func(v View) {
		expect(t, "used", v.UsedResources("w-1"), api.Resources{})
		expect(t, "counts", v.QueueCounts(testQueue), QueueCounts{})
	})
}

func TestClock_IsMonotonic(t *testing.T) {
	h := newHarness(t)
	h.now = 500
	h.submit("j", stepSpec("a", 1))
	expect(t, "submitted at", h.status("j").SubmittedAt.UnixMilli(), 1000)
}

func TestObserve_NoMissedEventAndNoneAfterStop(t *testing.T) {
	h := newHarness(t)
	h.submit("j", stepSpec("a", 1))
	jobs, events := 0, 0
	stop := h.machine.Observe(
		func(v View) {
			for range v.Jobs("") {
				jobs++
			}
		},
		func(Event) { events++ },
	)
	h.submit("k", stepSpec("a", 1))
	stop()
	h.submit("l", stepSpec("a", 1))
	expect(t, "jobs at start", jobs, 1)
	expect(t, "events", events, 2)
}
