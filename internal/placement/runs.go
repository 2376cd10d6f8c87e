package placement

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/fairshare"
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
	queue    *fairshare.Queue
	step     *step
	priority int
	runTimes
	preemptibility
	// slot is the one in which the run counts, or nil.
	slot *slotSet
	// inReservation tells whether the run was placed in a slot.
	inReservation bool
	// untilCancelled is set if the run has no end of its own.
	untilCancelled bool
	// nominated is set while the resources are only promised.
	nominated bool
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

// occupiesAt reports whether the run takes resources outside of reserved slots at that
// moment and cannot be made to leave.
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

// mayBeVictim reports whether the run may be preempted. Those in slots are not: what
// they take is not for others.
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

// sortedRuns returns runs of the worker in the order of their tasks: iteration over the
// map would not be repeatable.
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

// defaultMaxPreemptions holds until SetMaxPreemptions.
const defaultMaxPreemptions = 3

// runTable owns the runs and keeps the counts that follow from them: those of queues
// and steps, and the sums of workers. Each run is counted in all of them or in none.
type runTable struct {
	// open are the runs that are not only nominated.
	open map[record.TaskID]*run
	// preemptible counts by priority the open runs that may be preempted, those in
	// reserved slots too.
	preemptible map[int]int
	// maxPreemptions is the bound on preemptions of one task.
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

// find returns the open run of a task; nil if there is none. A nominated one is not open.
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

// renominate is nominate for a run that was closed for an attempt: its start stays.
func (t *runTable) renominate(task *Task, to placementTarget, started record.Millis) *run {
	return t.add(task, to, started, true)
}

// add makes a run on a target: its resources are taken, or promised if nominated.
func (t *runTable) add(task *Task, to placementTarget, started record.Millis, nominated bool) *run {
	r := &run{
		task:          task.ID,
		service:       task.Spec.Service,
		need:          task.Spec.Resources,
		worker:        to.worker,
		queue:         t.queues.Get(task.Queue),
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
	r.step.count(to.worker, 1)
	t.countPreemptible(r, 1)
	return r
}

// close gives back what a run takes; it is the exact reverse of add.
func (t *runTable) close(r *run) {
	if !r.nominated {
		delete(t.open, r.task)
	}
	t.countPreemptible(r, -1)
	t.workers.deallocate(r)
	delete(r.worker.runs, r)
	r.leaveSlot()
	r.queue.CountRun(-1)
	r.step.count(r.worker, -1)
	t.steps.forgetIfUnused(r.step)
}

// claim turns the runs of a nomination into open ones, if what all of them need is free
// by now: all or none.
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

// setMaxPreemptions changes the bound on preemptions of one task, and reports whether it
// is another one. reconsiderPreemptible applies it to the runs on a worker.
func (t *runTable) setMaxPreemptions(limit int) bool {
	changed := limit != t.maxPreemptions
	t.maxPreemptions = limit
	return changed
}

// isPreemptible reports whether the task may be preempted, and was not preempted too
// often yet.
func (t *runTable) isPreemptible(task *Task) bool {
	return task.Spec.Preemptible && task.Preemptions < t.maxPreemptions
}

// reconsiderPreemptible applies a change of maxPreemptions to the runs on a worker.
func (t *runTable) reconsiderPreemptible(w *worker) {
	for r := range w.runs {
		t.countPreemptible(r, -1)
		t.workers.updateRun(r, func() { r.preemptible = r.specPreemptible && r.preemptions < t.maxPreemptions })
		t.countPreemptible(r, 1)
	}
}

// countPreemptible counts the runs by priority that may be preempted.
func (t *runTable) countPreemptible(r *run, change int) {
	if !r.preemptible || r.nominated {
		return
	}
	t.preemptible[r.priority] += change
	if t.preemptible[r.priority] == 0 {
		delete(t.preemptible, r.priority)
	}
}

// anyPreemptible reports whether any run of a lower priority may be preempted.
func (t *runTable) anyPreemptible(priority int) bool {
	for lower := range t.preemptible {
		if lower < priority {
			return true
		}
	}
	return false
}
