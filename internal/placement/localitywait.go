package placement

import (
	"maps"

	"github.com/decklever/decklever/api"
)

// Locality wait: a task may wait a bounded time for a worker with the labels that it
// prefers. Whoever adds it sets WaitsForPreferred and takes that back later. Meanwhile
// it is of a class of its own, so that no other task waits for it, and that class
// preempts nobody. Where no sound worker has the labels, it takes any at once.

// requirements is what a task requires of its worker now.
type requirements struct {
	// labels are those that the worker must have.
	labels map[string]string
	// deferredTo is set while labels hold those that the task prefers, too.
	preferred bool
}

// requirementsOf is what the task requires now.
func (e *Engine) requirementsOf(task *Task) requirements {
	required := requirements{labels: task.Spec.Labels}
	if !task.WaitsForPreferred || len(task.Spec.Prefer) == 0 {
		return required
	}
	wanted := requirements{labels: maps.Clone(task.Spec.Prefer), preferred: true}
	maps.Copy(wanted.labels, task.Spec.Labels)
	if !e.hasSound(task.Spec, wanted.labels) {
		return required
	}
	return wanted
}

// hasSound reports whether some sound worker that takes work has the labels, and the
// room when it is empty.
func (e *Engine) hasSound(spec *api.TaskSpec, labels map[string]string) bool {
	for _, w := range e.workers.byID {
		if isUsable(w) && isSound(w) && fits(spec.Resources, w.Capacity) &&
			w.Offers(spec.Service) && w.HasLabels(labels) {
			return true
		}
	}
	return false
}

// isSound reports whether it is worth waiting for the worker.
func isSound(w *worker) bool { return !w.Slow && !w.restricted }
