package placement

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// fits reports whether need fits in free. No need fits where any dimension is
// negative.
func fits(need, free api.Resources) bool { return need.Fits(free) }

// offersService reports whether the worker has the handler.
func offersService(worker *Worker, service string) bool {
	return slices.Contains(worker.Services, service)
}

// hasLabels reports whether the worker has all labels with these values.
func hasLabels(worker *Worker, labels map[string]string) bool {
	for key, value := range labels {
		if have, ok := worker.Labels[key]; !ok || have != value {
			return false
		}
	}
	return true
}

// domainOf returns the worker's domain under a Spread.By; false means that the
// worker has none and is not eligible.
func domainOf(worker *Worker, by string) (string, bool) {
	switch by {
	case api.SpreadByWorker:
		return worker.Name, true
	case api.SpreadByZone:
		return worker.Zone, true
	}
	key, isLabel := strings.CutPrefix(by, api.SpreadByLabelPrefix)
	if !isLabel {
		return "", false
	}
	domain, ok := worker.Labels[key]
	return domain, ok
}

// withinSpread reports whether one more run of the step is allowed in the
// worker's domain. A nil rule allows any.
func withinSpread(rule *spreadRule, worker *Worker) bool {
	return rule == nil || rule.remaining(worker) > 0
}

// isUsable reports whether the worker may get new runs.
func isUsable(worker *worker) bool { return worker.known && worker.Usable }
