package placement

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// classKey is the shape of a task: all that decides where it fits. The step
// is part of it only where a spread rule applies, the queue only while a window
// of it is kept.
type classKey struct {
	selector    selector
	need        api.Resources
	queue       string
	preemptible bool
	// allowsProbation allows workers on probation.
	allowsProbation bool
	// waitsForPreferred: the selector's labels are those that the task requires and
	// those that it prefers, and workers that are slow or guarded are none for it.
	waitsForPreferred bool
	// runsUntilCancelled lets the class take whatever room there is.
	untilCancelled bool
	// headroom is the share of a worker that is to stay free, in hundredths.
	headroom int
	// duration bounds a run; 0 is no bound.
	duration     record.Millis
	spreadBy     string
	maxPerDomain int
	step         record.StepID
}

// classKeyOf is the class of a task as the rules are now. It composes what queues,
// reservations, preemption and locality wait say of the task.
func (e *Engine) classKeyOf(task *Task, required *requirements) classKey {
	id, spec := task.ID, task.Spec
	key := classKey{
		selector:          selector{service: spec.Service, labels: canonicalLabels(required.labels)},
		waitsForPreferred: required.preferred,
		need:              spec.Resources,
		preemptible:       e.runs.isPreemptible(task),
		allowsProbation:   task.AllowsProbation,
		untilCancelled:    task.UntilCancelled,
	}
	if !key.preemptible {
		key.duration = durationOf(spec)
		key.selector.byUnreserved = key.duration == 0
	}
	if q, known := e.queues.byName[task.Queue]; known {
		if q.hasReservation {
			key.queue = task.Queue
		}
		key.headroom = headroomPercentOf(task, &q.rule)
	}
	if spec.Spread != nil {
		key.spreadBy = spec.Spread.By
		key.maxPerDomain = max(spec.Spread.MaxPerDomain, 1)
		key.step = id.StepID()
	}
	return key
}

// durationOf is the spec's longest run in whole seconds, rounded up so that
// there are not too many classes; 0 is no bound.
func durationOf(spec *api.TaskSpec) record.Millis {
	const second = 1000
	longest := record.MillisOf(spec.MaxDuration.Std())
	if longest <= 0 {
		return 0
	}
	return (longest + second - 1) / second * second
}

// canonicalLabels is the same text for equal labels. Lengths keep apart what
// separators could not.
func canonicalLabels(labels map[string]string) string {
	if len(labels) == 0 {
		return ""
	}
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		text.WriteString(strconv.Quote(key))
		text.WriteByte('=')
		text.WriteString(strconv.Quote(labels[key]))
	}
	return text.String()
}
