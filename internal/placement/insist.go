package placement

import (
	"maps"

	"github.com/decklever/decklever/api"
)

// A task may insist for a bounded time on what it prefers: whoever adds it sets Insists
// and takes that back later. Meanwhile it is of a class of its own, so that no task
// waits for it, and that class preempts nobody. Where no sound worker is as it wants, it
// takes what there is at once.

// insistence is what a task requires of its worker now.
type insistence struct {
	// labels are those that a worker must have, preferred ones too while the task
	// insists on them.
	labels map[string]string
	// insists is true while it does.
	insists bool
}

// insistenceOf is what the task requires now.
func (e *Engine) insistenceOf(task *Task) insistence {
	required := insistence{labels: task.Spec.Labels}
	if !task.Insists || len(task.Spec.Prefer) == 0 {
		return required
	}
	wanted := insistence{labels: maps.Clone(task.Spec.Prefer), insists: true}
	maps.Copy(wanted.labels, task.Spec.Labels)
	if !e.hasSound(task.Spec, &wanted) {
		return required
	}
	return wanted
}

// hasSound reports whether some worker that takes work is as wanted, and has the room
// when it is empty.
func (e *Engine) hasSound(spec *api.TaskSpec, wanted *insistence) bool {
	for _, w := range e.workers.byID {
		if isUsable(w) && wanted.accepts(w) && fits(spec.Resources, w.Capacity) &&
			offersService(&w.Worker, spec.Service) && hasLabels(&w.Worker, wanted.labels) {
			return true
		}
	}
	return false
}

// accepts reports whether the worker is sound, if the task insists.
func (i *insistence) accepts(w *worker) bool { return !i.insists || !w.Slow && !w.guarded }
