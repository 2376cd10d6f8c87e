package placement

import (
	"fmt"
	"testing"
)

func TestSpread_MaxPerDomain(t *testing.T) {
	workers := make([]Worker, 3)
	for i := range workers {
		workers[i] = testWorker(fmt.Sprintf("w%d", i), cpu(10))
		workers[i].Zone = []string{"z1", "z1", "z2"}[i]
		workers[i].Labels = []map[string]string{{"rack": "r1"}, nil, {"rack": "r1"}}[i]
	}
	cases := []struct {
		by           string
		maxPerDomain int
		want         int
		reason       string
	}{
		{"worker", 0, 3, "spread: at most 1 running per worker"},
		{"worker", 2, 6, "spread: at most 2 running per worker"},
		{"zone", 1, 2, "spread: at most 1 running per zone"},
		{"label:rack", 1, 1, "spread: at most 1 running per label:rack"},
		{"label:row", 1, 0, "spread: no worker has a label:row"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.by, c.maxPerDomain), func(t *testing.T) {
			e := newEngine(workers...)
			for i := range 7 {
				e.Add(spreadTask(i, c.by, c.maxPerDomain))
			}
			decisions := e.Plan(100)
			expect(t, "number of decisions", len(decisions), c.want)
			expect(t, "reason", e.Reason(spreadTask(6, c.by, c.maxPerDomain).ID), c.reason)
			if c.want == 0 {
				return
			}
			e.Release(decisions[0].Task)
			expect(t, "number of decisions after a release", len(e.Plan(100)), 1)
		})
	}
}

func TestSpread_CountsAddedRunsAndFollowsWorkerZone(t *testing.T) {
	e := newEngine(testWorker("a", cpu(10)))
	e.AddRun(spreadTask(0, "zone", 1), "late-1")
	e.Add(spreadTask(1, "zone", 1))
	late := testWorker("late", cpu(10))
	e.SetWorker(late)
	expect(t, "decisions while a run is in the zone", placed(e, 10), "")
	late.Zone = "z2"
	e.SetWorker(late)
	expect(t, "decisions once it is in another zone", placed(e, 10), "spread/a/1@a")
}

func TestSpread_CountsRunsAddedBeforeRule(t *testing.T) {
	a := testWorker("a", cpu(10))
	e := newEngine(a, testWorker("b", cpu(10)))
	e.AddRun(testTask("spread", 0, 1), "a-1")
	e.Add(spreadTask(1, "zone", 1))
	expect(t, "decisions while a run is in the zone", placed(e, 10), "")
	a.Usable = false
	e.SetWorker(a)
	expect(t, "decisions while its worker is unusable", placed(e, 10), "")
	e.Release(testTask("spread", 0, 1).ID)
	expect(t, "decisions after the release", placed(e, 10), "spread/a/1@b")
}
