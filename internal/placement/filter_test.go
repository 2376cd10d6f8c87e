package placement

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/fairshare"
)

func TestFilter_FeasibleWorkers(t *testing.T) {
	w := testWorker("w", api.Resources{CPUMillis: 10, MemoryMB: 10})
	w.Labels = map[string]string{"disk": "ssd", "rack": ""}
	queues := fairshare.NewTable()
	queues.SetQueues([]QueueRule{{Name: "full", MaxRunning: 2}})
	full := queues.GetOrCreate("full")
	full.CountRun(1)
	usable, closed := w, w
	closed.Usable = false
	cases := []struct {
		name      string
		got, want bool
	}{
		{"fits exactly", fits(cpu(10), w.Capacity), true},
		{"one dimension short", fits(api.Resources{CPUMillis: 1, Accelerators: 1}, w.Capacity), false},
		{"nothing fits negative free capacity", fits(cpu(0), api.Resources{MemoryMB: -1}), false},
		{"service", w.Offers("s"), true},
		{"other service", w.Offers("x"), false},
		{"no labels", w.HasLabels(nil), true},
		{"all labels", w.HasLabels(map[string]string{"disk": "ssd", "rack": ""}), true},
		{"other value", w.HasLabels(map[string]string{"disk": "hdd"}), false},
		{"missing label differs from empty value", w.HasLabels(map[string]string{"row": ""}), false},
		{"usable", isUsable(&worker{Worker: usable, known: true}), true},
		{"not usable", isUsable(&worker{Worker: closed, known: true}), false},
		{"usable but not known", isUsable(&worker{Worker: usable}), false},
		{"one run left in queue limit", full.CanRun(1), true},
		{"two runs exceed queue limit", full.CanRun(2), false},
		{"queue without limit", queues.GetOrCreate("q").CanRun(1000), true},
		{"no spread rule", withinSpread(nil, &w), true},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Errorf("%s: got %v, want the opposite", c.name, c.got)
		}
	}
}
