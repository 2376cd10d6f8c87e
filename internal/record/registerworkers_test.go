package record

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestRegisterWorkers_ReplacesIncarnationsWithoutRuns(t *testing.T) {
	r := newHarness(t)
	w := testWorker("w")
	r.register(w)
	r.register(w)
	expectEvents(t, r, "worker w-1")
	r.submit("j", stepSpec("a", 1))
	r.mustPlace(placementOn(taskID("j", "a", 0), 1, "w"))
	next := w
	next.ID = "w-2"
	expect(t, "runs are open", fmt.Sprint(r.register(next)), "[w]")
	thief := w
	thief.Name = "thief"
	expect(t, "id is taken", fmt.Sprint(r.register(thief)), "[thief]")
	r.takeEvents()
	r.apply(Command{ForgetWorkers: &ForgetWorkers{Names: []string{"w"}}})
	w.Zone = "z9"
	r.register(w)
	r.close(taskID("j", "a", 0), 1, api.OutcomeLost)
	r.register(next)
	r.apply(Command{ForgetWorkers: &ForgetWorkers{Names: []string{"w", "none"}}})
	expectEvents(t, r, "worker w-1", "closed j/a/0 lost", "ready j/a/0", "worker w-2", "forgotten w-2")
}
