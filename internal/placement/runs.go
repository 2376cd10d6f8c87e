package placement

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/record"
)

// forever is the end of a run without a maximum duration.
const forever = record.Millis(1<<63 - 1)

// run is an open or a nominated run: it takes resources of its worker. Only runTable
// creates and closes runs. A change of a field on which the sums of the worker depend
// must go through workerIndex.updateRun.
type run struct {
	task     record.TaskID
	service  string
	need     api.Resources
	worker   *worker
	queue    *fairshare.Queue
	step     *step
	priority int
	runTimes
	preemptibility
	// slot is the slot set in which the run is counted, or nil.
	slot *slotSet
	// inReservation is set if the run was placed in a slot; it remains set if the slot is
	// dropped.
	inReservation bool
	// untilCancelled is set if the run ends only when it is cancelled.
	untilCancelled bool
	// nominated is set while the resources are promised but not yet taken.
	nominated bool
}

// runTimes holds when a run starts and ends, in Unix milliseconds.
type runTimes struct {
	// started is when the run was placed; end is when the worker stops it at the latest.
	started, end record.Millis
	// expectedEnd is the end according to the estimate of the task; without an estimate
	// it equals end.
	expectedEnd record.Millis
}

// preemptibility holds what decides whether a run may be preempted.
type preemptibility struct {
	// preemptions counts how often the task was preempted before.
	preemptions int
	// specPreemptible is the Preemptible setting of the spec. preemptible is also false
	// once the task was preempted maxPreemptions times.
	specPreemptible, preemptible bool
	// stopping is set once the run was chosen for preemption.
	stopping bool
}

// startAt sets the start of the run and, from the spec, its latest and its expected end.
func (t *runTimes) startAt(moment record.Millis, spec *api.TaskSpec) {
	t.started = moment
	t.end = endOf(moment, spec)
	t.expectedEnd = t.end
	if spec.Estimate > 0 {
		t.expectedEnd = min(t.end, moment+record.MillisOf(spec.Estimate.Std()))
	}
}

// endOf returns the latest end of a run that starts at the given time; forever if the
// spec sets no maximum duration.
func endOf(start record.Millis, spec *api.TaskSpec) record.Millis {
	if spec.MaxDuration <= 0 {
		return forever
	}
	return start + record.MillisOf(spec.MaxDuration.Std())
}

// occupiesAt reports whether at that time the run takes resources outside of reserved
// slots and cannot be preempted.
func (r *run) occupiesAt(moment record.Millis) bool {
	if r.preemptible {
		return false
	}
	if r.slot != nil && r.slot.reservation.openAt(moment) {
		return false
	}
	return r.end > moment
}

// addBackNeedAt returns slack plus what the run takes of it at the given time. A nil run
// takes nothing.
func (r *run) addBackNeedAt(slack api.Resources, moment record.Millis) api.Resources {
	if r == nil || !r.occupiesAt(moment) {
		return slack
	}
	return slack.Add(r.need)
}

// mayBeVictim reports whether the run may be preempted. Runs in slots may not: the
// capacity of a slot is not available to other tasks.
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

// sortedRuns returns the runs of the worker for which wanted returns true, ordered by
// task ID: the order of map iteration is not deterministic.
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

// runsByStep counts the runs of the worker by step.
func (w *worker) runsByStep() map[*step]int {
	counts := map[*step]int{}
	for r := range w.runs {
		counts[r.step]++
	}
	return counts
}

// defaultMaxPreemptions applies until SetMaxPreemptions is called.
const defaultMaxPreemptions = 3

// runTable owns the runs and maintains the counts derived from them: those of queues and
// steps, and the sums of workers. Each run is counted in all of them or in none.
type runTable struct {
	// open holds the runs that are not nominated.
	open map[record.TaskID]*run
	// preemptible counts, by priority, the open runs that may be preempted, including
	// those in reserved slots.
	preemptible map[int]int
	// maxPreemptions bounds how often one task may be preempted.
	maxPreemptions int

	clock   *clock
	workers *workerIndex
	queues  *fairshare.Table
	steps   *stepTable
}

func newRunTable(clock *clock, workers *workerIndex, queues *fairshare.Table, steps *stepTable) *runTable {
	return &runTable{
		open:           map[record.TaskID]*run{},
		preemptible:    map[int]int{},
		maxPreemptions: defaultMaxPreemptions,

		clock: clock, workers: workers, queues: queues, steps: steps,
	}
}

// find returns the open run of a task; nil if there is none. A nominated run is not open.
func (t *runTable) find(task record.TaskID) *run { return t.open[task] }

// start opens a run that starts now.
func (t *runTable) start(task *Task, to placementTarget) *run {
	return t.add(task, to, t.clock.now, false)
}

// nominate promises the target to a run that does not start yet.
func (t *runTable) nominate(task *Task, to placementTarget) *run {
	return t.add(task, to, t.clock.now, true)
}

// restore opens a run that started earlier.
func (t *runTable) restore(task *Task, to placementTarget, started record.Millis) *run {
	return t.add(task, to, started, false)
}

// renominate nominates a run again that was closed temporarily, and keeps its start.
func (t *runTable) renominate(task *Task, to placementTarget, started record.Millis) *run {
	return t.add(task, to, started, true)
}

// add creates a run on a target. Its resources are taken, or promised if nominated is
// set.
func (t *runTable) add(task *Task, to placementTarget, started record.Millis, nominated bool) *run {
	r := &run{
		task:          task.ID,
		service:       task.Spec.Service,
		need:          task.Spec.Resources,
		worker:        to.worker,
		queue:         t.queues.GetOrCreate(task.Queue),
		step:          t.steps.get(task.ID.StepID()),
		priority:      task.Priority,
		nominated:     nominated,
		inReservation: to.slot != nil,
		preemptibility: preemptibility{
			preemptions:     task.Preemptions,
			specPreemptible: task.Spec.Preemptible,
			preemptible:     t.isPreemptible(task),
		},
		untilCancelled: task.UntilCancelled,
	}
	r.startAt(started, task.Spec)
	if to.slot != nil {
		r.enterSlot(to.slot)
	}
	if !nominated {
		t.open[r.task] = r
	}
	to.worker.runs[r] = struct{}{}
	t.workers.allocate(r)
	r.queue.CountRun(1)
	r.step.addRuns(to.worker, 1)
	t.countPreemptible(r, 1)
	return r
}

// close frees what a run takes; it is the exact reverse of add.
func (t *runTable) close(r *run) {
	if !r.nominated {
		delete(t.open, r.task)
	}
	t.countPreemptible(r, -1)
	t.workers.deallocate(r)
	delete(r.worker.runs, r)
	r.leaveSlot()
	r.queue.CountRun(-1)
	r.step.addRuns(r.worker, -1)
	t.steps.deleteIfUnused(r.step)
}

// claim opens the runs of a nomination if the resources of all of them are free now.
// Otherwise it returns false and all of them stay nominated.
func (t *runTable) claim(n *nomination) bool {
	for i, r := range n.runs {
		if !fits(r.need, r.worker.freeNow()) {
			for _, claimed := range n.runs[:i] {
				t.countPreemptible(claimed, -1)
				t.workers.updateRun(claimed, func() { claimed.nominated = true })
			}
			return false
		}
		t.workers.updateRun(r, func() {
			r.nominated = false
			r.startAt(t.clock.now, n.members[i].Spec)
		})
		t.countPreemptible(r, 1)
	}
	for _, r := range n.runs {
		t.open[r.task] = r
	}
	return true
}

// setMaxPreemptions sets how often one task may be preempted, and reports whether that
// changed. The caller applies the change to existing runs by updatePreemptible.
func (t *runTable) setMaxPreemptions(limit int) bool {
	changed := limit != t.maxPreemptions
	t.maxPreemptions = limit
	return changed
}

// isPreemptible reports whether the task is preemptible and was preempted fewer than
// maxPreemptions times.
func (t *runTable) isPreemptible(task *Task) bool {
	return task.Spec.Preemptible && task.Preemptions < t.maxPreemptions
}

// updatePreemptible applies a change of maxPreemptions to the runs on a worker.
func (t *runTable) updatePreemptible(w *worker) {
	for r := range w.runs {
		t.countPreemptible(r, -1)
		t.workers.updateRun(r, func() { r.preemptible = r.specPreemptible && r.preemptions < t.maxPreemptions })
		t.countPreemptible(r, 1)
	}
}

// countPreemptible adds change to the number of preemptible open runs of the priority of
// the run, if the run is one of them.
func (t *runTable) countPreemptible(r *run, change int) {
	if !r.preemptible || r.nominated {
		return
	}
	t.preemptible[r.priority] += change
	if t.preemptible[r.priority] == 0 {
		delete(t.preemptible, r.priority)
	}
}

// hasPreemptibleBelow reports whether there is a preemptible open run with a priority lower
// than the given one.
func (t *runTable) hasPreemptibleBelow(priority int) bool {
	for lower := range t.preemptible {
		if lower < priority {
			return true
		}
	}
	return false
}
