package placement

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// forever is the end of a run that has no bound.
const forever = record.Millis(1<<63 - 1)

// run is an open run, or a nominated one: it takes resources of its worker. Only
// runTable makes and closes runs; workerIndex.updateRun applies each change of what
// the sums of the worker depend on.
type run struct {
	task     record.TaskID
	service  string
	need     api.Resources
	worker   *worker
	queue    *queue
	step     *step
	priority int
	runTimes
	preemptibility
	// untilCancelled is set if the run has no end of its own.
	untilCancelled bool
	// nominated is set while the resources are only promised.
	nominated bool
	// slot is where the run counts; inReservation tells whether it was placed in one.
	slot          *slotSet
	inReservation bool
}

// runTimes is when a run starts and ends.
type runTimes struct {
	// started is when it was placed, end when the worker stops it at last.
	started, end record.Millis
	// expectedEnd is when its estimate says that it ends; end without one.
	expectedEnd record.Millis
}

// preemptibility is what decides whether a run may be preempted.
type preemptibility struct {
	// preemptions is how often the task was preempted before.
	preemptions int
	// specPreemptible is the spec's Preemptible; preemptible is false also once the
	// task was preempted too often.
	specPreemptible, preemptible bool
	// stopping is set once it was named for preemption.
	stopping bool
}

// startAt sets when the run starts, and so when it ends at the latest.
func (t *runTimes) startAt(moment record.Millis, spec *api.TaskSpec) {
	t.started = moment
	t.end = endOf(moment, spec)
	t.expectedEnd = t.end
	if spec.Estimate > 0 {
		t.expectedEnd = min(t.end, moment+record.MillisOf(spec.Estimate.Std()))
	}
}

// endOf is the latest end of a run that starts at that moment.
func endOf(start record.Millis, spec *api.TaskSpec) record.Millis {
	if spec.MaxDuration <= 0 {
		return forever
	}
	return start + record.MillisOf(spec.MaxDuration.Std())
}

// occupiesAt reports whether the run takes resources outside of reserved slots at that moment
// and cannot be made to leave.
func (r *run) occupiesAt(moment record.Millis) bool {
	if r.preemptible {
		return false
	}
	if r.slot != nil && r.slot.reservation.openAt(moment) {
		return false
	}
	return r.end > moment
}

// addNeedAt adds to the slack at a moment what the run takes then.
func (r *run) addNeedAt(slack api.Resources, moment record.Millis) api.Resources {
	if r == nil || !r.occupiesAt(moment) {
		return slack
	}
	return slack.Add(r.need)
}

// mayBeVictim reports whether the run may be preempted. Those in slices are
// not: their room is not for others.
func (r *run) mayBeVictim() bool {
	return r.preemptible && !r.stopping && !r.nominated && r.slot == nil
}

func (r *run) enterSlot(s *slotSet) {
	r.slot = s
	s.used++
}

func (r *run) leaveSlot() {
	if r.slot != nil {
		r.slot.used--
		r.slot = nil
	}
}

// sortedRuns returns runs of the worker in the order of their tasks.
func (w *worker) sortedRuns(wanted func(*run) bool) []*run {
	var runs []*run
	for r := range w.runs {
		if wanted(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareTask(a.task, b.task) })
	return runs
}

func (w *worker) runsByStep() map[*step]int {
	counts := map[*step]int{}
	for r := range w.runs {
		counts[r.step]++
	}
	return counts
}
