package placement

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/placement/utilization"
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

// equivalenceClass stands for all waiting tasks of one shape.
type equivalenceClass struct {
	key  classKey
	pool *pool
	// spread is nil without a spread rule.
	spread *spreadRule
	// tasks counts waiting tasks, members of groups too.
	tasks int
	// subQueues hold the class's tasks that are not members of a group.
	subQueues map[*subQueue]struct{}
	// unschedulable is set when a pass found no room; it stays until a worker of the
	// pool changed and could hold the class, or a run of its step ended.
	unschedulable bool
	// heldBack is set if it may have found none only since its service is crowded.
	blockedByUtilization bool
	// ignoresHeadroom is set during a search that need not leave headroom.
	ignoresHeadroom bool
	// allowsRestricted is set during a search among guarded workers too.
	allowsRestricted bool
	// search is set during one that leaves workers alone that are kept.
	backfill *backfillSearch
	// groups are those parked until this class may find room, with the value
	// of freed at which it may; activateAt is the least of these.
	awaitingGangs map[*subQueue]uint64
	activateAt    uint64
	// freedFits counts places that came on workers that changed; it may count one
	// place often.
	freedFits uint64
	// lastFitCount is the last count of places for groups.
	lastFitCount fitCount
	// bookings are the reservations whose slices the class may use.
	reservations []*reservation
	clock        *clock
	// utilization points to the engine's.
	utilization *utilization.Table
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

func (e *Engine) classKeyOf(task *Task, wanted *requirements) classKey {
	id, spec := task.ID, task.Spec
	key := classKey{
		selector:          selector{service: spec.Service, labels: canonicalLabels(wanted.labels)},
		waitsForPreferred: wanted.preferred,
		need:              spec.Resources,
		preemptible:       e.runs.isPreemptible(task),
		allowsProbation:   task.AllowsProbation,

		untilCancelled: task.UntilCancelled,
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

// joinClass returns the class of a task and counts the task in.
func (e *Engine) joinClass(task *Task) *equivalenceClass {
	wanted := e.requirementsOf(task)
	key := e.classKeyOf(task, &wanted)
	c, ok := e.classes[key]
	if !ok {
		c = e.newClass(key, task.Spec, wanted.labels)
	}
	c.tasks++
	return c
}

func (e *Engine) newClass(key classKey, spec *api.TaskSpec, labels map[string]string) *equivalenceClass {
	c := &equivalenceClass{
		key:           key,
		pool:          e.workers.acquire(key.selector, labels),
		subQueues:     map[*subQueue]struct{}{},
		awaitingGangs: map[*subQueue]uint64{},
		activateAt:    math.MaxUint64,
		clock:         e.clock,

		utilization: e.utilization,
	}
	c.reservations = e.reservations.usableBy(c)
	if spec.Spread != nil {
		step := e.steps.get(key.step)
		step.track(key.spreadBy)
		step.classes[c] = struct{}{}
		c.spread = &spreadRule{by: key.spreadBy, maxPerDomain: key.maxPerDomain, step: step}
	}
	e.classes[key] = c
	return c
}

// leaveClass counts a task out and drops a class without tasks.
func (e *Engine) leaveClass(c *equivalenceClass) {
	c.tasks--
	if c.tasks > 0 {
		return
	}
	delete(e.classes, c.key)
	delete(c.pool.unschedulable, c)
	e.workers.release(c.pool)
	if c.spread != nil {
		delete(c.spread.step.classes, c)
		e.steps.forgetIfUnused(c.spread.step)
	}
}

// availableOn is the room that the class may use on a worker outside of slices of
// its own: one that can be made to leave uses all that is free, others leave
// what slices need before their run surely ends.
func (c *equivalenceClass) availableOn(w *worker) api.Resources {
	if len(w.profile) == 0 || c.key.preemptible {
		return w.free
	}
	if c.key.duration == 0 {
		return w.unreserved
	}
	slack, bound := w.slackUntil(c.clock.now + c.key.duration)
	if !bound {
		return w.free
	}
	return resources.Min(w.free, slack)
}

// fitsOn reports whether the class fits on a worker of its pool now, outside
// of slices.
func (c *equivalenceClass) fitsOn(w *worker) bool {
	if !c.key.untilCancelled && c.backfill.excludes(w) {
		return false
	}
	if c.key.waitsForPreferred && !isSound(w) {
		return false
	}
	if !fits(c.key.need, w.free) || !c.leavesHeadroom(w) || len(w.profile) > 0 && !fits(c.key.need, c.availableOn(w)) {
		return false
	}
	return withinSpread(c.spread, &w.Worker) && c.admits(w)
}

// mightFitOn reports whether the class may find room on a worker that changed: a
// slice counts even if a preemptible run has its room.
func (c *equivalenceClass) mightFitOn(w *worker) bool {
	if c.fitsOnAnyTerms(w) || c.freeSlots(w.slots) > 0 {
		return true
	}
	return w.nominated != (api.Resources{}) && fits(c.key.need, c.availableWithNominated(w)) && c.key.untilCancelled
}

// setUnschedulable marks that a pass found no room.
func (c *equivalenceClass) setUnschedulable() {
	c.unschedulable = true
	c.blockedByUtilization = c.isHighlyUtilized() && (c.key.headroom != 0 || c.key.allowsProbation)
	c.pool.unschedulable[c] = struct{}{}
}

// wake makes everything that waits for the class ready to be looked at again.
func (c *equivalenceClass) activate() {
	c.activateSubQueues()
	for l := range c.awaitingGangs {
		l.activate()
	}
}

func (c *equivalenceClass) activateSubQueues() {
	c.unschedulable, c.blockedByUtilization = false, false
	c.leaveUnschedulable()
	for l := range c.subQueues {
		l.activate()
	}
}

// leaveUnschedulable stops looking at changed workers once nothing waits for them.
func (c *equivalenceClass) leaveUnschedulable() {
	if c.unschedulable || len(c.awaitingGangs) > 0 {
		return
	}
	c.activateAt = math.MaxUint64
	delete(c.pool.unschedulable, c)
}

// activateClasses looks at blocked classes again, but only where a worker changed
// and only if the class may have room on that worker.
func (e *Engine) activateClasses(changed []*worker) {
	for _, w := range changed {
		for _, p := range w.pools {
			for c := range p.unschedulable {
				c.workerChanged(w)
			}
		}
	}
}

func (c *equivalenceClass) workerChanged(w *worker) {
	if c.unschedulable && c.mightFitOn(w) {
		c.activateSubQueues()
	}
	if len(c.awaitingGangs) > 0 {
		c.freedFits += c.freedFitsOn(w)
		c.activateGangs()
	}
}
