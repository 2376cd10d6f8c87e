package feasibility

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// Worker describes a worker incarnation for placement.
type Worker struct {
	// ID identifies the incarnation; Name is the same for all incarnations of a worker.
	ID       string
	Name     string
	Zone     string
	Capacity api.Resources
	Services []string
	Labels   map[string]string
	// Usable is false while the ready gate is closed, on draining workers and in
	// evacuated zones: open runs keep their resources, and no new run is placed.
	Usable bool
	// Slow: the worker is slower than others at the same work; tasks prefer other workers.
	Slow bool
	// Probation: the worker holds one run at a time, and only of tasks that allow
	// probation or that no other worker could hold.
	Probation bool
	// Suspect: the worker holds one run at a time, and only of tasks that no other
	// worker could hold or has free capacity for. It has no reserved slots. Tasks that run
	// until cancelled are exempt from the rules of Probation and Suspect as a last resort.
	Suspect bool
}

// Offers reports whether the worker has a handler for the service.
func (w *Worker) Offers(service string) bool { return slices.Contains(w.Services, service) }

// HasLabels reports whether the worker has all of the labels with the same values.
func (w *Worker) HasLabels(labels map[string]string) bool {
	for key, value := range labels {
		if have, ok := w.Labels[key]; !ok || have != value {
			return false
		}
	}
	return true
}

// Domain returns the worker's domain for a value of api.Spread.By. It returns false if
// the worker has none; it is then not eligible under such a spread rule.
func (w *Worker) Domain(by string) (string, bool) {
	switch by {
	case api.SpreadByWorker:
		return w.Name, true
	case api.SpreadByZone:
		return w.Zone, true
	}
	key, isLabel := strings.CutPrefix(by, api.SpreadByLabelPrefix)
	if !isLabel {
		return "", false
	}
	domain, ok := w.Labels[key]
	return domain, ok
}

// hasDomain reports whether the worker has a domain for the spread rule; a nil rule needs
// none.
func (w *Worker) hasDomain(spread *api.Spread) bool {
	if spread == nil {
		return true
	}
	_, ok := w.Domain(spread.By)
	return ok
}

// CouldHold reports whether the worker could hold the task when empty, whether or not it
// is usable now.
func (w *Worker) CouldHold(spec *api.TaskSpec) bool {
	return spec.Resources.Fits(w.Capacity) && w.Offers(spec.Service) && w.HasLabels(spec.Labels) && w.hasDomain(spec.Spread)
}
