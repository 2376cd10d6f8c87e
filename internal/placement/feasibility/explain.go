package feasibility

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// Check reports whether any of the workers, taken as empty, could hold the task; if
// not, why. It looks at no more workers than it takes to find one.
func Check(spec *api.TaskSpec, workers []Worker) (bool, string) {
	for i := range workers {
		if workers[i].CouldHold(spec) {
			return true, ""
		}
	}
	return false, explain(spec, workers)
}

// explain says why no worker could hold the task.
func explain(spec *api.TaskSpec, workers []Worker) string {
	if reason := Mismatch(spec, workers); reason != "" {
		return reason
	}
	var largest api.Resources
	for i := range workers {
		w := &workers[i]
		if w.Offers(spec.Service) && w.HasLabels(spec.Labels) && w.hasDomain(spec.Spread) {
			largest = resources.Max(largest, w.Capacity)
		}
	}
	return "no worker is large enough: " + Shortage(spec.Resources, largest, "largest has")
}

// Mismatch says which of service, labels and spread domain no worker meets; empty if
// one meets all.
func Mismatch(spec *api.TaskSpec, workers []Worker) string {
	if len(workers) == 0 {
		return "no worker"
	}
	left := filter(workers, func(w *Worker) bool { return w.Offers(spec.Service) })
	if len(left) == 0 {
		return fmt.Sprintf("no worker offers service %q", spec.Service)
	}
	left = filter(left, func(w *Worker) bool { return w.HasLabels(spec.Labels) })
	if len(left) == 0 {
		return "no worker with labels " + labelText(spec.Labels)
	}
	left = filter(left, func(w *Worker) bool { return w.hasDomain(spec.Spread) })
	if len(left) == 0 {
		return NoDomain(spec.Spread.By)
	}
	return ""
}

// NoDomain says that no worker lies in a domain of the spread rule.
func NoDomain(by string) string { return "spread: no worker has a " + by }

// Shortage names the dimensions of most that fall short of need; found says what most
// is of.
func Shortage(need, most api.Resources, found string) string {
	dimensions := []struct {
		name       string
		need, most int64
	}{
		{"cpu_millis", need.CPUMillis, most.CPUMillis},
		{"memory_mb", need.MemoryMB, most.MemoryMB},
		{"accelerators", need.Accelerators, most.Accelerators},
	}
	var parts []string
	for _, d := range dimensions {
		if d.need > d.most {
			parts = append(parts, fmt.Sprintf("needs %d %s, %s %d", d.need, d.name, found, d.most))
		}
	}
	if len(parts) == 0 {
		return "no worker has all that it needs at once"
	}
	return strings.Join(parts, "; ")
}

func filter(workers []Worker, wanted func(*Worker) bool) []Worker {
	var left []Worker
	for i := range workers {
		if wanted(&workers[i]) {
			left = append(left, workers[i])
		}
	}
	return left
}

func labelText(labels map[string]string) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, key+"="+labels[key])
	}
	return strings.Join(parts, ", ")
}
