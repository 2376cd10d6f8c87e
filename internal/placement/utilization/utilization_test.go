package utilization

import (
	"testing"

	"github.com/decklever/decklever/api"
)

// amount returns an amount of processors and memory.
func amount(cpu, memory int64) api.Resources {
	return api.Resources{CPUMillis: cpu, MemoryMB: memory}
}

func TestTable_HighUtilization(t *testing.T) {
	cases := map[string]struct {
		capacity, used       api.Resources
		high, processorBound bool
	}{
		"at the bound in both":    {amount(100, 100), amount(60, 60), false, false},
		"above it in both":        {amount(100, 100), amount(61, 61), true, true},
		"above it in processors":  {amount(100, 100), amount(61, 60), false, true},
		"above it in memory":      {amount(100, 100), amount(60, 61), false, false},
		"no memory at all":        {amount(100, 0), amount(61, 0), true, true},
		"no processors at all":    {amount(0, 100), amount(0, 61), true, true},
		"no run, one processor":   {amount(1, 100), amount(0, 0), false, true},
		"worker that has nothing": {amount(0, 0), amount(0, 0), true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := New()
			table.AddWorker([]string{"s"}, c.capacity, c.used)
			if got := table.IsHigh("s"); got != c.high {
				t.Errorf("IsHigh: got %v, want %v", got, c.high)
			}
			if got := table.IsProcessorBound("s"); got != c.processorBound {
				t.Errorf("IsProcessorBound: got %v, want %v", got, c.processorBound)
			}
		})
	}
}

func TestTable_RunCountsInAllServicesOfItsWorker(t *testing.T) {
	table := New()
	table.AddWorker([]string{"s", "t"}, amount(10, 10), amount(0, 0))
	table.AddWorker([]string{"t"}, amount(10, 10), amount(0, 0))
	table.AddRun([]string{"s", "t"}, amount(7, 7))
	for service, want := range map[string]bool{"s": true, "t": false, "": false, "unknown": false} {
		if got := table.IsHigh(service); got != want {
			t.Errorf("IsHigh(%q): got %v, want %v", service, got, want)
		}
	}
	table.Reset()
	if table.IsHigh("s") || table.IsProcessorBound("s") {
		t.Error("service s is still highly utilized after Reset")
	}
}
