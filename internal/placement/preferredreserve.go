package placement

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/preferredlabels"
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

// preferredReserve owns the labels that tasks have preferred lately, and worker.preferred.
type preferredReserve struct {
	// disabled has no label recorded.
	disabled bool
	labels   *preferredlabels.Set

	clock   *clock
	workers *workerIndex
}

func newPreferredReserve(disabled bool, clock *clock, workers *workerIndex) *preferredReserve {
	return &preferredReserve{disabled: disabled, labels: preferredlabels.New(), clock: clock, workers: workers}
}

// any reports whether any label is preferred.
func (p *preferredReserve) any() bool { return p.labels.Len() > 0 }

// record takes in what a task that waits prefers.
func (p *preferredReserve) record(spec *api.TaskSpec) {
	if !p.disabled {
		p.labels.Record(spec.Prefer, p.clock.now)
	}
}

// describe records on a worker whose description changed whether a label of it is
// preferred.
func (p *preferredReserve) describe(w *worker) { w.preferred = p.labels.Matches(w.Labels) }

// refresh records the same on all workers, if labels came or went.
func (p *preferredReserve) refresh() {
	if !p.labels.Refresh(p.clock.now) {
		return
	}
	for _, w := range p.workers.byID {
		p.describe(w)
	}
}

// leavesPreferredReserve reports whether a task leaves those that prefer the worker their
// share of it, or is one of them.
func leavesPreferredReserve(spec *api.TaskSpec, w *worker) bool {
	if !w.preferred || len(spec.Prefer) > 0 && w.HasLabels(spec.Prefer) {
		return true
	}
	return fits(spec.Resources.Add(resources.Percent(w.Capacity, preferredReservePercent)), w.free)
}
