package feasibility

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// Check reports whether any of the workers could hold the task when empty. If none
// could, it returns the reason. It stops at the first worker that could.
func Check(spec *api.TaskSpec, workers []Worker) (bool, string) {
	for i := range workers {
		if workers[i].CouldHold(spec) {
			return true, ""
		}
	}
	return false, explain(spec, workers)
}

// explain returns the reason why no worker could hold the task.
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

// Mismatch returns the first requirement that no worker meets together with those before
// it, in the order service, labels, spread domain. It is empty if a worker meets them all.
func Mismatch(spec *api.TaskSpec, workers []Worker) string {
	if len(workers) == 0 {
		return "no worker"
	}
	matching := filter(workers, func(w *Worker) bool { return w.Offers(spec.Service) })
	if len(matching) == 0 {
		return fmt.Sprintf("no worker offers service %q", spec.Service)
	}
	matching = filter(matching, func(w *Worker) bool { return w.HasLabels(spec.Labels) })
	if len(matching) == 0 {
		return "no worker with labels " + labelText(spec.Labels)
	}
	matching = filter(matching, func(w *Worker) bool { return w.hasDomain(spec.Spread) })
	if len(matching) == 0 {
		return NoDomain(spec.Spread.By)
	}
	return ""
}

// NoDomain returns the reason that no worker has a domain for a spread rule with this
// api.Spread.By.
func NoDomain(by string) string { return "spread: no worker has a " + by }

// Shortage names the dimensions in which most is less than need. mostLabel is the text
// before each amount of most, such as "largest has".
func Shortage(need, most api.Resources, mostLabel string) string {
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
			parts = append(parts, fmt.Sprintf("needs %d %s, %s %d", d.need, d.name, mostLabel, d.most))
		}
	}
	if len(parts) == 0 {
		return "no worker has all that it needs at once"
	}
	return strings.Join(parts, "; ")
}

func filter(workers []Worker, matches func(*Worker) bool) []Worker {
	var matching []Worker
	for i := range workers {
		if matches(&workers[i]) {
			matching = append(matching, workers[i])
		}
	}
	return matching
}

func labelText(labels map[string]string) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, key+"="+labels[key])
	}
	return strings.Join(parts, ", ")
}
