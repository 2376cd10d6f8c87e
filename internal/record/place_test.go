package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

func TestPlaceTasks_RejectsWhatNoLongerFits(t *testing.T) {
	r := newHarness(t)
	other := testWorker("other")
	other.Services = []string{"t"}
	r.register(testWorker("w"), other)
	start := time.UnixMilli(2000)
	timed := stepSpec("timed", 1)
	timed.NotBefore = &start
	labelled := stepSpec("labelled", 1)
	labelled.Tasks[0].Labels = map[string]string{"disk": "fast"}
	r.submit("j", stepSpec("a", 5), timed, labelled)
	r.mustRejectAll(placementOn(taskID("j", "a", 0), 1, "other"))
	r.mustRejectAll(placementOn(taskID("j", "a", 0), 1, "gone"))
	r.mustRejectAll(placementOn(taskID("j", "a", 9), 1, "w"))
	r.mustRejectAll(placementOn(taskID("j", "timed", 0), 1, "w"))
	r.mustRejectAll(placementOn(taskID("j", "labelled", 0), 1, "w"))
	stale := placementOn(taskID("j", "a", 0), 1, "w")
	stale.WorkerID = "w-0"
	r.mustRejectAll(stale)

	var five []Placement
	for i := range 5 {
		five = append(five, placementOn(taskID("j", "a", i), 1, "w"))
	}
	rejected := r.place(append(five, five[0])...)
	expect(t, "too many", len(rejected), 2)
	expect(t, "first too many", rejected[0], five[4].Run)
	r.close(taskID("j", "a", 0), 1, api.OutcomeSucceeded)
	r.now = 2000
	r.mustPlace(placementOn(taskID("j", "timed", 0), 1, "w"))

	r.submitTo("narrow", "n", stepSpec("a", 2))
	r.register(testWorker("w2"))
	rejected = r.place(placementOn(taskID("n", "a", 0), 1, "w2"), placementOn(taskID("n", "a", 1), 1, "w2"))
	expect(t, "beyond the queue's bound", len(rejected), 1)
}

func TestPlaceTasks_SpreadLimitsEachDomain(t *testing.T) {
	r := newHarness(t)
	w1, w2, w3 := testWorker("w1"), testWorker("w2"), testWorker("w3")
	w3.Zone = "z2"
	w2.Labels = map[string]string{"rack": "r"}
	r.register(w1, w2, w3)
	for by, allowed := range map[string][]string{
		api.SpreadByWorker: {"w1", "w2", "w3"},
		api.SpreadByZone:   {"w1", "w3"},
		"label:rack":       {"w1", "w2"},
	} {
		spread := stepSpec("a", 3)
		for i := range spread.Tasks {
			spread.Tasks[i].Spread = &api.Spread{By: by}
		}
		r.submit(by, spread)
		var placed []string
		for i, worker := range []string{"w1", "w2", "w3"} {
			if len(r.place(placementOn(taskID(by, "a", i), 1, worker))) == 0 {
				placed = append(placed, worker)
			}
		}
		expect(t, by, fmt.Sprint(placed), fmt.Sprint(allowed))
	}
}

func TestPlaceTasks_GangAllOrNothing(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"), testWorker("w2"))
	group := stepSpec("a", 3)
	group.Together = true
	r.submit("j", group)
	m0, m1, m2 := taskID("j", "a", 0), taskID("j", "a", 1), taskID("j", "a", 2)
	whole := func(run uint32, w string) []Placement {
		return []Placement{placementOn(m0, run, "w1"), placementOn(m1, run, "w1"), placementOn(m2, run, w)}
	}
	r.mustRejectAll(placementOn(m0, 1, "w1"))
	r.mustRejectAll(whole(1, "gone")...)
	r.mustPlace(whole(1, "w2")...)

	r.close(m2, 1, api.OutcomeLost)
	r.stop(StopGang, m0, m1)
	r.mustRejectAll(placementOn(m2, 2, "w2"))
	r.close(m0, 1, api.OutcomeStopped)
	r.close(m1, 1, api.OutcomeStopped)
	r.mustRejectAll(placementOn(m2, 2, "w2"), placementOn(m0, 2, "w1"))
	r.mustPlace(whole(2, "w2")...)

	r.close(m2, 2, api.OutcomeLost)
	r.mustPlace(placementOn(m2, 3, "w2"))
	r.close(m0, 2, api.OutcomeSucceeded)
	r.close(m1, 2, api.OutcomeLost)
	r.close(m2, 3, api.OutcomeLost)
	r.mustRejectAll(placementOn(m2, 4, "w2"))
	r.mustPlace(placementOn(m1, 3, "w1"), placementOn(m2, 4, "w2"))
}
