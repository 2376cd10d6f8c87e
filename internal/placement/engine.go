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
	// Seed is for choices among equals. Names break every tie today, so it
	// has no effect yet.
	Seed int64
	// Off are the policies that an experiment switches off. Default: none.
	Off featuregate.DisabledSet
}

// Engine implements Planner and ReservationPlanner. It is not safe for concurrent use.
//
// It only composes the concerns: each owns its state and gets, when it is made, those
// others that it may call. What spans several (a run that ends, a nomination, a change of
// rules that moves tasks to other classes) is a method of the engine, each step of which
// is one call of one owner.
type Engine struct {
	clock   *clock
	workers *workerIndex
	queues  *fairshare.Table
	// runs owns the open runs, and through them the counts of steps.
	runs    *runTable
	classes *classIndex
	// backlog owns what waits; what is nominated waits in no sub-queue of it.
	backlog      *backlog
	reservations *reservationTable
	nominations  nominationList
	preemptor    *preemptor
	gangDrains   *gangDrainer
	backfill     *backfillReservations
	finder       *targetFinder
	preferred    *preferredReserve
	// utilization is as of the start of the pass, and what it has placed since.
	utilization *utilization.Table
}

var (
	_ Planner            = (*Engine)(nil)
	_ ReservationPlanner = (*Engine)(nil)
)

// New returns an Engine that knows no worker, queue or task.
func New(config Config) *Engine {
	clock := &clock{}
	workers, queues, steps := newWorkerIndex(), fairshare.NewTable(), newStepTable()
	runs := newRunTable(clock, workers, queues, steps)
	preferred := newPreferredReserve(config.Off.Has(featuregate.PreferredShare), clock, workers)
	finder := &targetFinder{off: config.Off, workers: workers, steps: steps, preferred: preferred}
	e := &Engine{
		clock:       clock,
		workers:     workers,
		queues:      queues,
		runs:        runs,
		backlog:     newBacklog(queues),
		preemptor:   &preemptor{runs: runs, workers: workers},
		gangDrains:  newGangDrainer(config.Off.Has(featuregate.LastResortCapacity), clock, finder, runs),
		backfill:    &backfillReservations{disabled: config.Off.Has(featuregate.BackfillReservation), clock: clock, workers: workers},
		finder:      finder,
		preferred:   preferred,
		utilization: utilization.New(),
	}
	e.reservations = newReservationTable(clock, workers, e.revokeNominationOf)
	e.classes = newClassIndex(clock, workers, steps, e.reservations, e.utilization)
	return e
}

// SetQueues implements Planner. A queue that is not named has weight 1 and no bound.
func (e *Engine) SetQueues(rules []QueueRule) {
	changed := e.queues.SetQueues(rules)
	if len(changed) > 0 {
		e.reclassify(func(task *Task) bool { return changed[task.Queue] })
	}
}

// SetTeams implements ReservationPlanner. A team that is not named has no bound.
func (e *Engine) SetTeams(rules []TeamRule) { e.queues.SetTeams(rules) }

// SetDeferences implements Planner.
func (e *Engine) SetDeferences(deferences []Deference) { e.queues.SetDeferences(deferences) }

// SetWorker implements Planner.
func (e *Engine) SetWorker(to Worker) {
	w := e.workers.get(to.ID)
	if w.known && sameWorker(&w.Worker, &to) {
		return
	}
	if w.known && w.Name != to.Name {
		e.reservations.dropAllSlots(w)
	}
	// Runs count by the domains of their worker: those of the old description are
	// taken back before it changes.
	runs := w.runsByStep()
	for s, count := range runs {
		s.count(w, -count)
	}
	e.workers.set(w, to)
	e.preferred.describe(w)
	for s, count := range runs {
		s.count(w, count)
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
		e.runs.reconsiderPreemptible(w)
		e.reservations.dropUnsupportedSlots(w)
		e.workers.addChanged(w)
	}
	e.reclassify(func(task *Task) bool { return task.Spec.Preemptible })
}

// sameWorker reports whether nothing about a worker changed.
func sameWorker(a, b *Worker) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Zone == b.Zone &&
		a.Capacity == b.Capacity && a.Usable == b.Usable && a.Slow == b.Slow && a.Probation == b.Probation && a.Suspect == b.Suspect &&
		slices.Equal(a.Services, b.Services) && maps.Equal(a.Labels, b.Labels)
}

// sameTask reports whether nothing about a task changed.
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
		e.end(r)
	}
	e.workers.remove(w)
}

// AddRun implements Planner. A task with a run elsewhere moves; one that waits no longer
// does. A worker that is not known yet is accounted for by SetWorker.
func (e *Engine) AddRun(task Task, workerID string) {
	if present := e.runs.find(task.ID); present != nil {
		if present.worker.ID == workerID {
			return
		}
		e.Release(task.ID)
	}
	e.Remove(task.ID)
	to := placementTarget{worker: e.workers.get(workerID)}
	started := task.StartedAt
	if started == 0 {
		started = e.clock.now
	}
	e.runs.restore(&task, to, started)
	if e.queues.Get(task.Queue).IsReserved() {
		// It may fill a pending slot.
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
	e.end(r)
	if !r.worker.known && len(r.worker.runs) == 0 {
		e.workers.remove(r.worker)
	}
}

// end closes a run and has the next pass look at what may now fit.
func (e *Engine) end(r *run) {
	e.runs.close(r)
	e.reservations.dropUnsupportedSlots(r.worker)
	e.workers.addChanged(r.worker)
	r.queue.RunEnded()
	activateStep(r.step)
}

// Add implements Planner. A task with an open run does not wait: Release it first. A
// task that waits already is replaced if it differs.
func (e *Engine) Add(task Task) {
	if e.runs.find(task.ID) != nil {
		return
	}
	if task.Preferences == nil {
		task.Preferences = e.backlog.withoutPreferences()
	}
	if present := e.backlog.find(task.ID); present != nil {
		if sameTask(&present.Task, &task) {
			return
		}
		e.Remove(task.ID)
	}
	w := &waiting{Task: task, class: e.joinClass(&task)}
	e.backlog.add(w)
	e.preferred.record(task.Spec)
	e.enqueue(w)
}

// enqueue puts a task into its sub-queue. One whose class is unschedulable is not
// active, but may preempt.
func (e *Engine) enqueue(w *waiting) {
	if w.Gang != "" && w.GangSize > 1 {
		e.addToGang(w)
		return
	}
	sub := e.backlog.ofClass(w)
	sub.push(w)
	if w.class.unschedulable {
		e.preemptor.retries.add(sub)
		return
	}
	sub.Activate()
}

// addToGang puts a member into the sub-queue of its gang. A drain for the gang ends: it
// was for the members known so far.
func (e *Engine) addToGang(w *waiting) {
	sub := e.backlog.ofGang(&w.Task)
	if e.gangDrains.isFor(sub) {
		e.stopGangDrain()
	}
	// Out of the heap first: a gang without tasks has no order in it.
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
	e.forget(w)
	if sub := w.subQueue; sub.class == nil && len(sub.tasks) > 0 {
		sub.reconsider()
	}
}

// forget takes a task out of all that waits.
func (e *Engine) forget(w *waiting) {
	e.backlog.forget(w)
	e.classes.leave(w.class)
}

// Waiting implements Planner.
func (e *Engine) Waiting() int { return e.backlog.size() }

// reclassify adds tasks anew whose class may have changed: a class lives by its key.
func (e *Engine) reclassify(concerned func(*Task) bool) {
	tasks := e.backlog.matching(concerned)
	for _, w := range tasks {
		e.Remove(w.ID)
	}
	for _, w := range tasks {
		e.Add(w.Task)
	}
}

// SetTime implements ReservationPlanner. Time that goes back has no effect. A window is
// dropped when it ends.
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

// ReservedSlots implements ReservationPlanner, in the order of reservations and workers'
// names.
func (e *Engine) ReservedSlots() []ReservedSlots { return e.reservations.list() }

// refreshReservations sorts the waiting tasks of queues anew that got their first window
// or lost their last, and tells classes the reservations whose slots they may use.
func (e *Engine) refreshReservations() {
	changed := e.queues.SetReserved(e.reservations.queues())
	if len(changed) > 0 {
		e.reclassify(func(task *Task) bool { return changed[task.Queue] })
	}
	e.classes.refreshReservations()
}

// joinClass counts a task in the class that it is of now.
func (e *Engine) joinClass(task *Task) *equivalenceClass {
	required := e.workers.requirementsOf(task)
	return e.classes.join(e.classKeyOf(task, &required), task.Spec.Spread, required.labels)
}

// Preemptions implements ReservationPlanner.
func (e *Engine) Preemptions() []Preemption { return e.preemptor.takeRequested() }

// HasFreeCapacity implements Planner.
func (e *Engine) HasFreeCapacity(spec *api.TaskSpec) bool {
	return e.workers.hasFreeCapacity(spec)
}

// Feasible implements Planner. It considers service, labels, the label of the spread
// domain and full capacity; Usable does not matter. It looks at the arguments alone.
func (e *Engine) Feasible(spec *api.TaskSpec, workers []Worker) (bool, string) {
	return feasibility.Check(spec, workers)
}

// clock is the engine's idea of time: it reads none. The concerns share one clock,
// which only Plan and SetTime move.
type clock struct {
	// now is the cluster time as last set; it decides which windows are open and
	// which runs surely end before one opens.
	now record.Millis
	// pass counts calls of Plan.
	pass uint64
}

// advance moves the time. Time that goes back has no effect: it reports false.
func (c *clock) advance(now record.Millis) bool {
	if now <= c.now {
		return false
	}
	c.now = now
	return true
}

// beginPass counts a call of Plan.
func (c *clock) beginPass() { c.pass++ }
