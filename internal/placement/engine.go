package placement

import (
	"maps"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/placement/feasibility"
	"github.com/decklever/decklever/internal/placement/utilization"
	"github.com/decklever/decklever/internal/record"
)

// Config configures an Engine.
type Config struct {
	// Seed is meant for choices among equals. It has no effect yet: all ties are broken
	// by name.
	Seed int64
	// DisabledFeatures are the features that an experiment disables. Default: none.
	DisabledFeatures featuregate.DisabledSet
}

// Engine implements Planner and ReservationPlanner. It is not safe for concurrent use.
//
// It only composes the concerns: each owns its state and gets, on construction, the other
// concerns that it may call. An operation that spans several concerns (the end of a run,
// a nomination, a change of rules that moves tasks to other classes) is a method of the
// engine, and each step of it is one call to one owner.
type Engine struct {
	clock   *clock
	workers *workerIndex
	queues  *fairshare.Table
	// runs owns the open runs and, through them, the counts of steps.
	runs    *runTable
	classes *classIndex
	// backlog owns the waiting tasks. A nominated task is in none of its sub-queues.
	backlog      *backlog
	reservations *reservationTable
	nominations  nominationList
	preemptor    *preemptor
	gangDrains   *gangDrainer
	backfill     *backfillReservations
	finder       *targetFinder
	preferred    *preferredReserve
	// utilization holds the state at the start of the pass plus the runs that the pass
	// placed.
	utilization *utilization.Table
}

var (
	_ Planner            = (*Engine)(nil)
	_ ReservationPlanner = (*Engine)(nil)
)

// New returns an Engine without workers, queues or tasks.
func New(config Config) *Engine {
	clock := &clock{}
	workers, queues, steps := newWorkerIndex(), fairshare.NewTable(), newStepTable()
	runs := newRunTable(clock, workers, queues, steps)
	preferred := newPreferredReserve(config.DisabledFeatures.Has(featuregate.PreferredShare), clock, workers)
	finder := &targetFinder{disabledFeatures: config.DisabledFeatures, workers: workers, steps: steps, preferred: preferred}
	e := &Engine{
		clock:       clock,
		workers:     workers,
		queues:      queues,
		runs:        runs,
		backlog:     newBacklog(queues),
		preemptor:   &preemptor{runs: runs, workers: workers},
		gangDrains:  newGangDrainer(config.DisabledFeatures.Has(featuregate.LastResortCapacity), clock, finder, runs),
		backfill:    &backfillReservations{disabled: config.DisabledFeatures.Has(featuregate.BackfillReservation), clock: clock, workers: workers},
		finder:      finder,
		preferred:   preferred,
		utilization: utilization.New(),
	}
	e.reservations = newReservationTable(clock, workers, e.revokeNominationOf)
	e.classes = newClassIndex(clock, workers, steps, e.reservations, e.utilization)
	return e
}

// SetQueues implements Planner. A queue without a rule has weight 1 and no limit.
func (e *Engine) SetQueues(rules []QueueRule) {
	changed := e.queues.SetQueues(rules)
	if len(changed) > 0 {
		e.reclassifyTasks(func(task *Task) bool { return changed[task.Queue] })
	}
}

// SetTeams implements ReservationPlanner. A team without a rule has no limit.
func (e *Engine) SetTeams(rules []TeamRule) { e.queues.SetTeams(rules) }

// SetDeferences implements Planner.
func (e *Engine) SetDeferences(deferences []Deference) { e.queues.SetDeferences(deferences) }

// SetWorker implements Planner.
func (e *Engine) SetWorker(to Worker) {
	w := e.workers.getOrCreate(to.ID)
	if w.known && sameWorker(&w.Worker, &to) {
		return
	}
	if w.known && w.Name != to.Name {
		e.reservations.dropAllSlots(w)
	}
	// Runs are counted by the domains of their worker: remove them from the domains of
	// the old description before it changes.
	runs := w.runsByStep()
	for s, count := range runs {
		s.addRuns(w, -count)
	}
	e.workers.set(w, to)
	e.preferred.updateWorker(w)
	for s, count := range runs {
		s.addRuns(w, count)
		activateStep(s)
	}
	e.reservations.dropMismatchedSlots(w)
	e.reservations.dropUnsupportedSlots(w)
}

// SetMaxPreemptions implements ReservationPlanner.
func (e *Engine) SetMaxPreemptions(limit int) {
	if !e.runs.setMaxPreemptions(limit) {
		return
	}
	for _, w := range e.workers.byName() {
		e.runs.updatePreemptible(w)
		e.reservations.dropUnsupportedSlots(w)
		e.workers.addChanged(w)
	}
	e.reclassifyTasks(func(task *Task) bool { return task.Spec.Preemptible })
}

// sameWorker reports whether two descriptions of a worker are equal.
func sameWorker(a, b *Worker) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Zone == b.Zone &&
		a.Capacity == b.Capacity && a.Usable == b.Usable && a.Slow == b.Slow && a.Probation == b.Probation && a.Suspect == b.Suspect &&
		slices.Equal(a.Services, b.Services) && maps.Equal(a.Labels, b.Labels)
}

// sameTask reports whether two versions of a task are equal. It compares Spec by pointer.
func sameTask(a, b *Task) bool {
	return a.ID == b.ID && a.Queue == b.Queue && a.Priority == b.Priority && a.Sequence == b.Sequence &&
		a.Spec == b.Spec && a.Gang == b.Gang && a.GangSize == b.GangSize &&
		a.StartedAt == b.StartedAt && a.Preemptions == b.Preemptions && a.UntilCancelled == b.UntilCancelled &&
		samePreferences(a.Preferences, b.Preferences)
}

func samePreferences(a, b *Preferences) bool {
	return a == b || a.StepSize == b.StepSize && a.Colocate == b.Colocate &&
		a.WaitsForPreferred == b.WaitsForPreferred && a.AllowsProbation == b.AllowsProbation && a.PrefersProbation == b.PrefersProbation && slices.Equal(a.Avoid, b.Avoid)
}

// RemoveWorker implements Planner.
func (e *Engine) RemoveWorker(id string) {
	w := e.workers.find(id)
	if w == nil {
		return
	}
	e.cancelNominationsOn(w)
	e.reservations.dropAllSlots(w)
	for _, r := range w.sortedRuns(func(*run) bool { return true }) {
		e.closeRun(r)
	}
	e.workers.remove(w)
}

// AddRun implements Planner. If the task has a run on another worker, that run is
// replaced. If the task waits, it stops waiting. The worker may be one that SetWorker has
// not described yet; SetWorker then accounts for the run.
func (e *Engine) AddRun(task Task, workerID string) {
	if present := e.runs.find(task.ID); present != nil {
		if present.worker.ID == workerID {
			return
		}
		e.Release(task.ID)
	}
	e.Remove(task.ID)
	to := placementTarget{worker: e.workers.getOrCreate(workerID)}
	started := task.StartedAt
	if started == 0 {
		started = e.clock.now
	}
	e.runs.restore(&task, to, started)
	if e.queues.GetOrCreate(task.Queue).IsReserved() {
		// The run may fill a pending slot.
		e.workers.addChanged(to.worker)
	}
	e.reservations.dropUnsupportedSlots(to.worker)
}

// Release implements Planner.
func (e *Engine) Release(task record.TaskID) {
	r := e.runs.find(task)
	if r == nil {
		return
	}
	e.closeRun(r)
	if !r.worker.known && len(r.worker.runs) == 0 {
		e.workers.remove(r.worker)
	}
}

// closeRun closes a run and makes the next pass reconsider what may now fit.
func (e *Engine) closeRun(r *run) {
	e.runs.close(r)
	e.reservations.dropUnsupportedSlots(r.worker)
	e.workers.addChanged(r.worker)
	r.queue.RunEnded()
	activateStep(r.step)
}

// Add implements Planner. It ignores a task with an open run: call Release first. A task
// that already waits is replaced if it differs.
func (e *Engine) Add(task Task) {
	if e.runs.find(task.ID) != nil {
		return
	}
	if task.Preferences == nil {
		task.Preferences = e.backlog.emptyPreferences()
	}
	if present := e.backlog.find(task.ID); present != nil {
		if sameTask(&present.Task, &task) {
			return
		}
		e.Remove(task.ID)
	}
	w := &waitingTask{Task: task, class: e.joinClass(&task)}
	e.backlog.add(w)
	e.preferred.recordLabels(task.Spec)
	e.enqueue(w)
}

// enqueue puts a task into its sub-queue. If its class is unschedulable, the sub-queue is
// not activated but listed for an attempt to preempt.
func (e *Engine) enqueue(w *waitingTask) {
	if w.Gang != "" && w.GangSize > 1 {
		e.addToGang(w)
		return
	}
	sub := e.backlog.classSubQueue(w)
	sub.push(w)
	if w.class.unschedulable {
		e.preemptor.retries.add(sub)
		return
	}
	sub.Activate()
}

// addToGang puts a member into the sub-queue of its gang. A drain for the gang is
// stopped, since it was for the members known so far.
func (e *Engine) addToGang(w *waitingTask) {
	sub := e.backlog.gangSubQueue(&w.Task)
	if e.gangDrains.isDrainingFor(sub) {
		e.stopGangDrain()
	}
	// Remove the sub-queue from the heap first: a gang without tasks cannot be ordered in
	// it.
	sub.deactivate()
	sub.push(w)
	sub.reconsider()
}

// Remove implements Planner.
func (e *Engine) Remove(task record.TaskID) {
	w := e.backlog.find(task)
	if w == nil {
		return
	}
	e.revokeNomination(w)
	e.removeWaiting(w)
	if sub := w.subQueue; sub.class == nil && len(sub.tasks) > 0 {
		sub.reconsider()
	}
}

// removeWaiting removes a task from the backlog and from its class.
func (e *Engine) removeWaiting(w *waitingTask) {
	e.backlog.forget(w)
	e.classes.removeTask(w.class)
}

// Waiting implements Planner.
func (e *Engine) Waiting() int { return e.backlog.size() }

// reclassifyTasks removes the affected tasks and adds them again, since their class may
// have changed: the key of a class is fixed.
func (e *Engine) reclassifyTasks(affected func(*Task) bool) {
	tasks := e.backlog.matching(affected)
	for _, w := range tasks {
		e.Remove(w.ID)
	}
	for _, w := range tasks {
		e.Add(w.Task)
	}
}

// SetTime implements ReservationPlanner. A time before the current one has no effect. A
// window is dropped when it ends.
func (e *Engine) SetTime(now record.Millis) {
	before := e.clock.now
	if !e.clock.advance(now) {
		return
	}
	if e.reservations.advance(before) {
		e.refreshReservations()
	}
}

// SetReservations implements ReservationPlanner.
func (e *Engine) SetReservations(reservations []Reservation) {
	if e.reservations.set(reservations) {
		e.refreshReservations()
	}
}

// ReservedSlots implements ReservationPlanner, ordered by reservation and then by worker
// name.
func (e *Engine) ReservedSlots() []ReservedSlots { return e.reservations.list() }

// refreshReservations reclassifies the waiting tasks of queues that got their first
// window or lost their last one, and updates for each class the reservations whose slots
// it may use.
func (e *Engine) refreshReservations() {
	changed := e.queues.SetReserved(e.reservations.queues())
	if len(changed) > 0 {
		e.reclassifyTasks(func(task *Task) bool { return changed[task.Queue] })
	}
	e.classes.refreshReservations()
}

// joinClass adds a task to the class that its current requirements select, and returns
// the class.
func (e *Engine) joinClass(task *Task) *equivalenceClass {
	required := e.workers.requirementsOf(task)
	return e.classes.addTask(e.classKeyOf(task, &required), task.Spec.Spread, required.labels)
}

// Preemptions implements ReservationPlanner.
func (e *Engine) Preemptions() []Preemption { return e.preemptor.takeRequested() }

// HasFreeCapacity implements Planner.
func (e *Engine) HasFreeCapacity(spec *api.TaskSpec) bool {
	return e.workers.hasFreeCapacity(spec)
}

// Feasible implements Planner. It considers service, labels, the label of the spread
// domain and total capacity, but not Usable. It depends on its arguments only.
func (e *Engine) Feasible(spec *api.TaskSpec, workers []Worker) (bool, string) {
	return feasibility.Check(spec, workers)
}

// clock holds the time and pass number that the engine was given; it does not read the
// system clock. All concerns share one clock, which only Plan and SetTime advance.
type clock struct {
	// now is the cluster time last set, in Unix milliseconds. It decides which windows
	// are open and which runs are certain to end before a window opens.
	now record.Millis
	// pass counts calls of Plan.
	pass uint64
}

// advance sets the time. It returns false and has no effect if the time does not
// increase.
func (c *clock) advance(now record.Millis) bool {
	if now <= c.now {
		return false
	}
	c.now = now
	return true
}

// beginPass counts a call of Plan.
func (c *clock) beginPass() { c.pass++ }
