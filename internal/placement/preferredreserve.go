package placement

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// Reserve for preferred labels. A task that prefers a label takes any other worker where
// those with the label are full, and may run for a multiple of its time there. "Fill the
// fullest" fills some of them with tasks that would run as well anywhere. So, while some
// task has preferred a label of a worker lately, tasks that do not prefer it leave a share
// of that worker free for as long as others have free capacity.

// preferredReservePercent is the share of a preferred worker that others leave free, in
// hundredths.
const preferredReservePercent = 30

// refreshPreferredWorkers records on each worker whether a label of it is preferred.
func (e *Engine) refreshPreferredWorkers() {
	if !e.preferredLabels.Refresh(e.clock.now) {
		return
	}
	for _, w := range e.workers.byID {
		w.preferred = e.preferredLabels.Matches(w.Labels)
	}
}

// leavesPreferredReserve reports whether a task leaves those that prefer the worker their
// share of it, or is one of them.
func leavesPreferredReserve(spec *api.TaskSpec, w *worker) bool {
	if !w.preferred || len(spec.Prefer) > 0 && hasLabels(&w.Worker, spec.Prefer) {
		return true
	}
	return fits(spec.Resources.Add(resources.Percent(w.Capacity, preferredReservePercent)), w.free)
}
