package placement

import (
	"maps"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// Room for tasks that prefer a worker. A task that prefers a label takes any other
// worker where those with the label are full, and may run for a multiple of its time
// there. "Fill the fullest" fills some of them with tasks that would run as well
// anywhere. So, while some task has preferred a label of a worker lately, tasks that do
// not prefer it leave a share of that worker free as long as others have room.

const (
	// preferredFor is how long a label counts as preferred after the newest task that
	// preferred it came.
	preferredFor = record.Millis(60_000)
	// preferredShare is the share of a preferred worker that others leave free, in
	// hundredths.
	preferredShare = 30
	// mostPreferred bounds the labels that are remembered.
	mostPreferred = 1024
)

// label is one label of a worker with its value.
type label struct{ key, value string }

// preferences are the labels that tasks have preferred lately.
type preferences struct {
	until map[label]record.Millis
	// oldest is the time before which no label is forgotten.
	oldest record.Millis
	// stale is set while workers are marked by earlier preferences.
	stale bool
}

func newPreferences() preferences { return preferences{until: map[label]record.Millis{}} }

// note takes in what a task prefers.
func (p *preferences) note(spec *api.TaskSpec, now record.Millis) {
	for key, value := range spec.Prefer {
		wanted := label{key, value}
		if _, known := p.until[wanted]; !known {
			if len(p.until) >= mostPreferred {
				continue
			}
			p.stale = true
		}
		p.until[wanted] = now + preferredFor
	}
}

// expire forgets the labels that no task has preferred for long.
func (p *preferences) expire(now record.Millis) {
	if now < p.oldest {
		return
	}
	known := len(p.until)
	maps.DeleteFunc(p.until, func(_ label, until record.Millis) bool { return until <= now })
	p.stale = p.stale || len(p.until) < known
	p.oldest = now + preferredFor/2
}

// names reports whether one of the worker's labels is preferred.
func (p *preferences) names(w *worker) bool {
	for key, value := range w.Labels {
		if _, preferred := p.until[label{key, value}]; preferred {
			return true
		}
	}
	return false
}

// markPreferred brings the marks of the workers up to date.
func (e *Engine) markPreferred() {
	e.preferences.expire(e.now)
	if !e.preferences.stale {
		return
	}
	e.preferences.stale = false
	for _, w := range e.workers.byID {
		w.preferred = e.preferences.names(w)
	}
}

// leavesPreferred reports whether a task leaves those that prefer the worker their
// share of it, or is one of them.
func leavesPreferred(spec *api.TaskSpec, w *worker) bool {
	if !w.preferred || len(spec.Prefer) > 0 && hasLabels(&w.Worker, spec.Prefer) {
		return true
	}
	return fits(spec.Resources.Add(shareOfRoom(w.Capacity, preferredShare)), w.free)
}
