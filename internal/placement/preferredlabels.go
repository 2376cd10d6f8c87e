package placement

import (
	"maps"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// Room for tasks that prefer a worker. A task that prefers a label takes any other
// worker where those with the label are full, and may run for a multiple of its time
// there. "Fill the fullest" fills some of them with tasks that would run as well
// anywhere. So, while some task has preferred a label of a worker lately, tasks that do
// not prefer it leave a share of that worker free as long as others have room.

const (
	// preferredLabelTTL is how long a label counts as preferred after the newest task that
	// preferred it came.
	preferredLabelTTL = record.Millis(60_000)
	// preferredReservePercent is the share of a preferred worker that others leave free, in
	// hundredths.
	preferredReservePercent = 30
	// maxPreferredLabels bounds the labels that are remembered.
	maxPreferredLabels = 1024
)

// label is one label of a worker with its value.
type label struct{ key, value string }

// preferredLabels are the labels that tasks have preferred lately.
type preferredLabels struct {
	until map[label]record.Millis
	// oldest is the time before which no label is forgotten.
	oldest record.Millis
	// stale is set while workers are marked by earlier preferences.
	stale bool
}

func newPreferredLabels() preferredLabels { return preferredLabels{until: map[label]record.Millis{}} }

// record takes in what a task prefers.
func (p *preferredLabels) record(spec *api.TaskSpec, now record.Millis) {
	for key, value := range spec.Prefer {
		wanted := label{key, value}
		if _, known := p.until[wanted]; !known {
			if len(p.until) >= maxPreferredLabels {
				continue
			}
			p.stale = true
		}
		p.until[wanted] = now + preferredLabelTTL
	}
}

// expire forgets the labels that no task has preferred for long.
func (p *preferredLabels) expire(now record.Millis) {
	if now < p.oldest {
		return
	}
	known := len(p.until)
	maps.DeleteFunc(p.until, func(_ label, until record.Millis) bool { return until <= now })
	p.stale = p.stale || len(p.until) < known
	p.oldest = now + preferredLabelTTL/2
}

// matches reports whether one of the worker's labels is preferred.
func (p *preferredLabels) matches(w *worker) bool {
	for key, value := range w.Labels {
		if _, preferred := p.until[label{key, value}]; preferred {
			return true
		}
	}
	return false
}

// refreshPreferredWorkers brings the marks of the workers up to date.
func (e *Engine) refreshPreferredWorkers() {
	e.preferredLabels.expire(e.now)
	if !e.preferredLabels.stale {
		return
	}
	e.preferredLabels.stale = false
	for _, w := range e.workers.byID {
		w.preferred = e.preferredLabels.matches(w)
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
