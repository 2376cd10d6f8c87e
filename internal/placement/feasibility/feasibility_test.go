package feasibility

import (
	"testing"

	"github.com/decklever/decklever/api"
)

// newWorker returns a worker with service "s" in zone "z1" and rack "x".
func newWorker(name string, cpu int64) Worker {
	return Worker{
		ID: name + "-1", Name: name, Zone: "z1", Capacity: api.Resources{CPUMillis: cpu},
		Services: []string{"s"}, Labels: map[string]string{"rack": "x"},
	}
}

func TestWorker_DomainByKind(t *testing.T) {
	w := newWorker("a", 4)
	cases := map[string]struct {
		domain string
		ok     bool
	}{
		api.SpreadByWorker:               {"a", true},
		api.SpreadByZone:                 {"z1", true},
		api.SpreadByLabelPrefix + "rack": {"x", true},
		api.SpreadByLabelPrefix + "row":  {"", false},
		"unknown":                        {"", false},
	}
	for by, c := range cases {
		t.Run(by, func(t *testing.T) {
			if domain, ok := w.Domain(by); domain != c.domain || ok != c.ok {
				t.Errorf("Domain: got %q, %v, want %q, %v", domain, ok, c.domain, c.ok)
			}
		})
	}
}

func TestCheck_ExplainsMismatch(t *testing.T) {
	workers := []Worker{newWorker("a", 4), newWorker("b", 8)}
	cases := map[string]struct {
		spec   api.TaskSpec
		reason string
	}{
		"larger worker fits": {api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 8}}, ""},
		"service":            {api.TaskSpec{Service: "t"}, `no worker offers service "t"`},
		"labels": {
			api.TaskSpec{Service: "s", Labels: map[string]string{"rack": "y", "disk": "ssd"}},
			"no worker with labels disk=ssd, rack=y",
		},
		"domain": {
			api.TaskSpec{Service: "s", Spread: &api.Spread{By: "label:row"}},
			"spread: no worker has a label:row",
		},
		"capacity": {
			api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 9, MemoryMB: 1}},
			"no worker is large enough: needs 9 cpu_millis, largest has 8; needs 1 memory_mb, largest has 0",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ok, reason := Check(&c.spec, workers)
			if ok != (c.reason == "") || reason != c.reason {
				t.Errorf("Check: got %v, %q, want reason %q", ok, reason, c.reason)
			}
		})
	}
	if ok, reason := Check(&api.TaskSpec{Service: "s"}, nil); ok || reason != "no worker" {
		t.Errorf(`Check without workers: got %v, %q, want false, "no worker"`, ok, reason)
	}
}

// TestShortage_NoSingleDimension guards the text for a task of which each dimension fits
// on some worker, but all of them together on none.
func TestShortage_NoSingleDimension(t *testing.T) {
	need := api.Resources{CPUMillis: 2, MemoryMB: 2}
	if got, want := Shortage(need, need, "largest has"), "no worker has all that it needs at once"; got != want {
		t.Errorf("Shortage: got %q, want %q", got, want)
	}
}
