package placement

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/utilization"
	"github.com/decklever/decklever/internal/record"
)

// equivalenceClass stands for all waiting tasks of one shape, as in Borg (Verma and
// others, "Large-scale cluster management at Google with Borg", EuroSys 2015): what one
// of them finds on the workers holds for all, so that a search that found nothing is not
// made again until something changed.
type equivalenceClass struct {
	key  classKey
	pool *pool
	// spread is nil without a spread rule.
	spread *spreadRule
	// tasks counts waiting tasks, members of gangs too.
	tasks int
	// subQueues hold the class's tasks that are not members of a gang.
	subQueues map[*subQueue]struct{}
	// unschedulable is set when a pass found no worker; it stays until a worker of the
	// pool changed and might hold the class, or a run of its step ended.
	unschedulable bool
	// blockedByUtilization is set if it may have found none only because its service is
	// highly utilized.
	blockedByUtilization bool
	searchScope
	gangWait
	// reservations are those whose slots the class may use.
	reservations []*reservation

	clock       *clock
	utilization *utilization.Table
}

// searchScope is what a search of workers for a class takes into account. It is set for
// the time of one search, so that the many searches that need none of it are not given
// it as arguments.
type searchScope struct {
	// ignoresHeadroom is set during a search that need not leave headroom.
	ignoresHeadroom bool
	// allowsRestricted is set during a search among restricted workers too.
	allowsRestricted bool
	// backfill is set during one that leaves alone the workers reserved for others.
	backfill *backfillSearch
}

// gangWait is the gangs that wait until a class fits somewhere more often.
type gangWait struct {
	// awaitingGangs are these gangs, with the value of freedFits at which each may fit;
	// activateAt is the least of these.
	awaitingGangs map[*subQueue]uint64
	activateAt    uint64
	// freedFits counts how often the class fits on workers that changed; it may count
	// the same capacity often.
	freedFits uint64
	// lastFitCount is the last count of fits for a gang.
	lastFitCount fitCount
}

// classIndex owns the classes of waiting tasks. A class lives while a task of it waits;
// it acquires its pool of workers when it is made and releases it when it goes.
type classIndex struct {
	byKey map[classKey]*equivalenceClass

	clock        *clock
	workers      *workerIndex
	steps        *stepTable
	reservations *reservationTable
	utilization  *utilization.Table
}

func newClassIndex(
	clock *clock, workers *workerIndex, steps *stepTable, reservations *reservationTable, usage *utilization.Table,
) *classIndex {
	return &classIndex{
		byKey: map[classKey]*equivalenceClass{},
		clock: clock, workers: workers, steps: steps, reservations: reservations, utilization: usage,
	}
}

// join returns the class of that key for one more task, and makes it if there is none.
func (x *classIndex) join(key classKey, spread *api.Spread, labels map[string]string) *equivalenceClass {
	c, ok := x.byKey[key]
	if !ok {
		c = x.create(key, spread, labels)
	}
	c.tasks++
	return c
}

func (x *classIndex) create(key classKey, spread *api.Spread, labels map[string]string) *equivalenceClass {
	c := &equivalenceClass{
		key:         key,
		pool:        x.workers.acquire(key.selector, labels),
		subQueues:   map[*subQueue]struct{}{},
		gangWait:    gangWait{awaitingGangs: map[*subQueue]uint64{}, activateAt: math.MaxUint64},
		clock:       x.clock,
		utilization: x.utilization,
	}
	c.reservations = x.reservations.usableBy(c)
	if spread != nil {
		step := x.steps.get(key.step)
		step.track(key.spreadBy)
		step.classes[c] = struct{}{}
		c.spread = &spreadRule{by: key.spreadBy, maxPerDomain: key.maxPerDomain, step: step}
	}
	x.byKey[key] = c
	return c
}

// leave counts a task out and drops a class without tasks.
func (x *classIndex) leave(c *equivalenceClass) {
	c.tasks--
	if c.tasks > 0 {
		return
	}
	delete(x.byKey, c.key)
	delete(c.pool.unschedulable, c)
	x.workers.release(c.pool)
	if c.spread != nil {
		delete(c.spread.step.classes, c)
		x.steps.forgetIfUnused(c.spread.step)
	}
}

// refreshReservations tells classes the reservations whose slots they may use now.
func (x *classIndex) refreshReservations() {
	for _, c := range x.byKey {
		c.reservations = x.reservations.usableBy(c)
	}
}

// activateAtLowUtilization lets the pass look at classes whose service was highly
// utilized when they were found unschedulable, and no longer is.
func (x *classIndex) activateAtLowUtilization() {
	for _, c := range x.byKey {
		if c.blockedByUtilization && !c.isHighlyUtilized() {
			c.activateSubQueues()
		}
	}
}

// activateOn lets the pass look at unschedulable classes again, but only where a worker
// changed and only if the class may fit on that worker.
func activateOn(changed []*worker) {
	for _, w := range changed {
		for _, p := range w.pools {
			for c := range p.unschedulable {
				c.workerChanged(w)
			}
		}
	}
}

// setUnschedulable records that a pass found no worker. From then on workers of the pool
// that change are compared with the class.
func (c *equivalenceClass) setUnschedulable() {
	c.unschedulable = true
	c.blockedByUtilization = c.isHighlyUtilized() && (c.key.headroom != 0 || c.key.allowsProbation)
	c.pool.unschedulable[c] = struct{}{}
}

// activate lets the next pass look at everything that waits for the class.
func (c *equivalenceClass) activate() {
	c.activateSubQueues()
	for sub := range c.awaitingGangs {
		sub.Activate()
	}
}

// activateSubQueues does that for tasks that are placed alone.
func (c *equivalenceClass) activateSubQueues() {
	c.unschedulable, c.blockedByUtilization = false, false
	c.leaveUnschedulable()
	for sub := range c.subQueues {
		sub.Activate()
	}
}

// leaveUnschedulable stops comparing changed workers with the class once nothing waits
// for them.
func (c *equivalenceClass) leaveUnschedulable() {
	if c.unschedulable || len(c.awaitingGangs) > 0 {
		return
	}
	c.activateAt = math.MaxUint64
	delete(c.pool.unschedulable, c)
}

// workerChanged lets the pass look at what may fit on a worker that changed.
func (c *equivalenceClass) workerChanged(w *worker) {
	if c.unschedulable && c.mightFitOn(w) {
		c.activateSubQueues()
	}
	if len(c.awaitingGangs) > 0 {
		c.freedFits += c.freedFitsOn(w)
		c.activateGangs()
	}
}

// classKey is the shape of a task: all that decides where it fits. The step is part of
// it only where a spread rule applies, the queue only while it has a reservation, so
// that as many tasks as possible are of one class. What a task prefers is no part of it.
type classKey struct {
	selector    selector
	need        api.Resources
	queue       string
	preemptible bool
	// allowsProbation allows workers on probation.
	allowsProbation bool
	// waitsForPreferred: the labels of the selector are those that the task requires and
	// those that it prefers, and workers that are slow or restricted are none for it.
	waitsForPreferred bool
	// untilCancelled lets the class take whatever capacity there is.
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
	if q := e.queues.Find(task.Queue); q != nil {
		if q.IsReserved() {
			key.queue = task.Queue
		}
		key.headroom = headroomPercentOf(task, q.Rule())
	}
	if spec.Spread != nil {
		key.spreadBy = spec.Spread.By
		key.maxPerDomain = max(spec.Spread.MaxPerDomain, 1)
		key.step = id.StepID()
	}
	return key
}

// durationOf is the longest run of the spec in whole seconds, rounded up so that there
// are not too many classes; 0 is no bound.
func durationOf(spec *api.TaskSpec) record.Millis {
	const second = 1000
	longest := record.MillisOf(spec.MaxDuration.Std())
	if longest <= 0 {
		return 0
	}
	return (longest + second - 1) / second * second
}

// canonicalLabels is the same text for equal labels. Quotes keep apart what separators
// could not.
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
