package feasibility

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// Worker is what placement knows of a worker incarnation.
type Worker struct {
	// ID is that of the incarnation, Name outlives it.
	ID       string
	Name     string
	Zone     string
	Capacity api.Resources
	Services []string
	Labels   map[string]string
	// Usable is false while the ready gate is closed, on draining workers and in
	// evacuated zones: open runs keep what they have, nothing new is placed.
	Usable bool
	// Slow workers are taken by tasks that fit nowhere else.
	Slow bool
	// Probation: the worker takes one run at a time, and only of tasks that allow
	// probation or that no other worker could hold.
	Probation bool
	// Suspect: the worker takes one run at a time, and only of tasks that no other
	// worker could hold, or has free capacity for. Reserved slots leave it.
	Suspect bool
}

// Offers reports whether the worker has the handler of a service.
func (w *Worker) Offers(service string) bool { return slices.Contains(w.Services, service) }

// HasLabels reports whether the worker has all labels with these values.
func (w *Worker) HasLabels(labels map[string]string) bool {
	for key, value := range labels {
		if have, ok := w.Labels[key]; !ok || have != value {
			return false
		}
	}
	return true
}

// Domain returns the worker's domain under an api.Spread.By; false means that the
// worker has none and is not eligible.
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

// hasDomain reports whether the worker lies in a domain of the spread rule.
func (w *Worker) hasDomain(spread *api.Spread) bool {
	if spread == nil {
		return true
	}
	_, ok := w.Domain(spread.By)
	return ok
}

// CouldHold reports whether the worker could hold the task when empty. It does not
// matter whether the worker is usable now.
func (w *Worker) CouldHold(spec *api.TaskSpec) bool {
	return spec.Resources.Fits(w.Capacity) && w.Offers(spec.Service) && w.HasLabels(spec.Labels) && w.hasDomain(spec.Spread)
}
