package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

func TestPlaceIsCheckedAgain(t *testing.T) {
	r := newRig(t)
	other := testWorker("other")
	other.Services = []string{"t"}
	r.register(testWorker("w"), other)
	start := time.UnixMilli(2000)
	timed := step("timed", 1)
	timed.NotBefore = &start
	labelled := step("labelled", 1)
	labelled.Tasks[0].Labels = map[string]string{"disk": "fast"}
	r.submit("j", step("a", 5), timed, labelled)
	r.mustReject(onWorker(id("j", "a", 0), 1, "other"))
	r.mustReject(onWorker(id("j", "a", 0), 1, "gone"))
	r.mustReject(onWorker(id("j", "a", 9), 1, "w"))
	r.mustReject(onWorker(id("j", "timed", 0), 1, "w"))
	r.mustReject(onWorker(id("j", "labelled", 0), 1, "w"))
	stale := onWorker(id("j", "a", 0), 1, "w")
	stale.WorkerID = "w-0"
	r.mustReject(stale)

	var five []Placement
	for i := range 5 {
		five = append(five, onWorker(id("j", "a", i), 1, "w"))
	}
	rejected := r.place(append(five, five[0])...)
	expect(t, "too many", len(rejected), 2)
	expect(t, "first too many", rejected[0], five[4].Run)
	r.close(id("j", "a", 0), 1, api.OutcomeSucceeded)
	r.now = 2000
	r.mustPlace(onWorker(id("j", "timed", 0), 1, "w"))

	r.submitTo("narrow", "n", step("a", 2))
	r.register(testWorker("w2"))
	rejected = r.place(onWorker(id("n", "a", 0), 1, "w2"), onWorker(id("n", "a", 1), 1, "w2"))
	expect(t, "beyond the queue's bound", len(rejected), 1)
}

func TestSpread(t *testing.T) {
	r := newRig(t)
	w1, w2, w3 := testWorker("w1"), testWorker("w2"), testWorker("w3")
	w3.Zone = "z2"
	w2.Labels = map[string]string{"rack": "r"}
	r.register(w1, w2, w3)
	for by, allowed := range map[string][]string{
		api.SpreadByWorker: {"w1", "w2", "w3"},
		api.SpreadByZone:   {"w1", "w3"},
		"label:rack":       {"w1", "w2"},
	} {
		spread := step("a", 3)
		for i := range spread.Tasks {
			spread.Tasks[i].Spread = &api.Spread{By: by}
		}
		r.submit(by, spread)
		var placed []string
		for i, worker := range []string{"w1", "w2", "w3"} {
			if len(r.place(onWorker(id(by, "a", i), 1, worker))) == 0 {
				placed = append(placed, worker)
			}
		}
		expect(t, by, fmt.Sprint(placed), fmt.Sprint(allowed))
	}
}

func TestGroupIsPlacedWhole(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"), testWorker("w2"))
	group := step("a", 3)
	group.Together = true
	r.submit("j", group)
	m0, m1, m2 := id("j", "a", 0), id("j", "a", 1), id("j", "a", 2)
	whole := func(run uint32, w string) []Placement {
		return []Placement{onWorker(m0, run, "w1"), onWorker(m1, run, "w1"), onWorker(m2, run, w)}
	}
	r.mustReject(onWorker(m0, 1, "w1"))
	r.mustReject(whole(1, "gone")...)
	r.mustPlace(whole(1, "w2")...)

	r.close(m2, 1, api.OutcomeLost)
	r.stop(StopGroup, m0, m1)
	r.mustReject(onWorker(m2, 2, "w2"))
	r.close(m0, 1, api.OutcomeStopped)
	r.close(m1, 1, api.OutcomeStopped)
	r.mustReject(onWorker(m2, 2, "w2"), onWorker(m0, 2, "w1"))
	r.mustPlace(whole(2, "w2")...)

	r.close(m2, 2, api.OutcomeLost)
	r.mustPlace(onWorker(m2, 3, "w2"))
	r.close(m0, 2, api.OutcomeSucceeded)
	r.close(m1, 2, api.OutcomeLost)
	r.close(m2, 3, api.OutcomeLost)
	r.mustReject(onWorker(m2, 4, "w2"))
	r.mustPlace(onWorker(m1, 3, "w1"), onWorker(m2, 4, "w2"))
}
