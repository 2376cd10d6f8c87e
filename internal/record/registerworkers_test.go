package record

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestRegisterWorkers_ReplacesIncarnationsWithoutRuns(t *testing.T) {
	h := newHarness(t)
	w := testWorker("w")
	h.register(w)
	h.register(w)
	expectEvents(t, h, "worker w-1")
	h.submit("j", stepSpec("a", 1))
	h.mustPlace(placementOn(taskID("j", "a", 0), 1, "w"))
	next := w
	next.ID = "w-2"
	expect(t, "rejected: earlier incarnation has open runs", fmt.Sprint(h.register(next)), "[w]")
	duplicate := w
	duplicate.Name = "duplicate"
	expect(t, "rejected: another name uses the incarnation id", fmt.Sprint(h.register(duplicate)), "[duplicate]")
	h.takeEvents()
	h.apply(Command{ForgetWorkers: &ForgetWorkers{Names: []string{"w"}}})
	w.Zone = "z9"
	h.register(w)
	h.close(taskID("j", "a", 0), 1, api.OutcomeLost)
	h.register(next)
	h.apply(Command{ForgetWorkers: &ForgetWorkers{Names: []string{"w", "none"}}})
	expectEvents(t, h, "worker w-1", "closed j/a/0 lost", "ready j/a/0", "worker w-2", "forgotten w-2")
}
