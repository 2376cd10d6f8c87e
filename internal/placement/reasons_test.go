package placement

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func TestReasonAndFeasible_Explanations(t *testing.T) {
	ready := testWorker("w", cpu(1200))
	ready.Labels = map[string]string{"disk": "ssd"}
	closed := ready
	closed.Usable = false
	cases := []struct {
		name             string
		workers          []Worker
		edit             func(*api.TaskSpec)
		reason, possible string
	}{
		{"no worker", nil, func(*api.TaskSpec) {}, "no usable worker", "no worker"},
		{"not usable", []Worker{closed}, func(*api.TaskSpec) {}, "no usable worker", ""},
		{"service", []Worker{ready}, func(s *api.TaskSpec) { s.Service = "x" }, `no worker offers service "x"`, `no worker offers service "x"`},
		{
			"labels",
			[]Worker{ready},
			func(s *api.TaskSpec) { s.Labels = map[string]string{"k": "v", "disk": "ssd"} },
			"no worker with labels disk=ssd, k=v", "no worker with labels disk=ssd, k=v",
		},
		{
			"capacity",
			[]Worker{ready},
			func(s *api.TaskSpec) { s.Resources = cpu(4000) },
			"no room: needs 4000 cpu_millis, most free 1200", "no worker is large enough: needs 4000 cpu_millis, largest has 1200",
		},
		{
			"domain",
			[]Worker{ready},
			func(s *api.TaskSpec) { s.Spread = &api.Spread{By: "label:rack"} },
			"spread: no worker has a label:rack", "spread: no worker has a label:rack",
		},
		{"fits", []Worker{ready}, func(*api.TaskSpec) {}, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(c.workers...)
			task := testTask("j", 0, 1)
			c.edit(task.Spec)
			e.Add(task)
			e.Plan(10)
			expect(t, "Reason", e.Reason(task.ID), c.reason)
			possible, why := e.Feasible(task.Spec, c.workers)
			expect(t, "Feasible", possible, c.possible == "")
			expect(t, "reason of Feasible", why, c.possible)
		})
	}
}
