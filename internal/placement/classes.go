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

// equivalenceClass stands for all waiting tasks of one shape, as in Borg (Verma et al.,
// "Large-scale cluster management at Google with Borg", EuroSys 2015): the result of a
// search of the workers for one of the tasks holds for all of them, so a search that
// found nothing is not repeated until something changed.
type equivalenceClass struct {
	key  classKey
	pool *pool
	// spread is nil if there is no spread rule.
	spread *spreadRule
	// tasks is the number of waiting tasks, including gang members.
	tasks int
	// subQueues holds the sub-queues of tasks that are not in a gang.
	subQueues map[*subQueue]struct{}
	// unschedulable is set when a pass found no worker. It is reset once a changed worker
	// of the pool might hold the class, a run of its step ended, or the utilization of
	// its service fell (see blockedByUtilization).
	unschedulable bool
	// blockedByUtilization is set if high utilization of the service may be the only
	// reason why no worker was found.
	blockedByUtilization bool
	searchScope
	gangWait
	// reservations are those whose slots the class may use.
	reservations []*reservation

	clock       *clock
	utilization *utilization.Table
}

// searchScope modifies a search of workers for a class. It is set for the duration of one
// search, so that the many searches that need no modification have no additional
// parameters.
type searchScope struct {
	// ignoresHeadroom is set during a search that need not leave headroom.
	ignoresHeadroom bool
	// allowsRestricted is set during a search that includes restricted workers.
	allowsRestricted bool
	// backfill is set during a search that excludes workers reserved for other tasks.
	backfill *backfillSearch
}

// gangWait holds the gangs that wait until more tasks of the class fit.
type gangWait struct {
	// awaitingGangs maps each waiting gang to the value of freedFits at which it may fit;
	// activationThreshold is the lowest of these values.
	awaitingGangs       map[*subQueue]uint64
	activationThreshold uint64
	// freedFits counts how many tasks of the class fit on workers that changed. The same
	// capacity may be counted repeatedly.
	freedFits uint64
	// lastFitCount is the result of the last count of fits for a gang.
	lastFitCount fitCount
}

// classIndex owns the classes of waiting tasks. A class exists while a task of it waits;
// it acquires its pool of workers when it is created and releases the pool when it is
// dropped.
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

// addTask counts one more task in the class of a key and returns the class. It creates
// the class if there is none.
func (x *classIndex) addTask(key classKey, spread *api.Spread, labels map[string]string) *equivalenceClass {
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
		pool:        x.workers.acquirePool(key.selector, labels),
		subQueues:   map[*subQueue]struct{}{},
		gangWait:    gangWait{awaitingGangs: map[*subQueue]uint64{}, activationThreshold: math.MaxUint64},
		clock:       x.clock,
		utilization: x.utilization,
	}
	c.reservations = x.reservations.usableBy(c)
	if spread != nil {
		step := x.steps.get(key.step)
		step.trackDomains(key.spreadBy)
		step.classes[c] = struct{}{}
		c.spread = &spreadRule{by: key.spreadBy, maxPerDomain: key.maxPerDomain, step: step}
	}
	x.byKey[key] = c
	return c
}

// removeTask counts a task out of its class, and drops the class if that was its last
// task.
func (x *classIndex) removeTask(c *equivalenceClass) {
	c.tasks--
	if c.tasks > 0 {
		return
	}
	delete(x.byKey, c.key)
	delete(c.pool.waitingClasses, c)
	x.workers.releasePool(c.pool)
	if c.spread != nil {
		delete(c.spread.step.classes, c)
		x.steps.deleteIfUnused(c.spread.step)
	}
}

// refreshReservations updates for each class the reservations whose slots it may use.
func (x *classIndex) refreshReservations() {
	for _, c := range x.byKey {
		c.reservations = x.reservations.usableBy(c)
	}
}

// activateAtLowUtilization activates the classes whose service was highly utilized when
// they became unschedulable and no longer is.
func (x *classIndex) activateAtLowUtilization() {
	for _, c := range x.byKey {
		if c.blockedByUtilization && !c.isHighlyUtilized() {
			c.activateSubQueues()
		}
	}
}

// activateForChangedWorkers activates the unschedulable classes and the waiting gangs
// that may fit on a changed worker of their pool. Other classes are not compared.
func activateForChangedWorkers(changed []*worker) {
	for _, w := range changed {
		for _, p := range w.pools {
			for c := range p.waitingClasses {
				c.onWorkerChanged(w)
			}
		}
	}
}

// setUnschedulable records that a pass found no worker. From then on, changed workers of
// the pool are compared with the class.
func (c *equivalenceClass) setUnschedulable() {
	c.unschedulable = true
	c.blockedByUtilization = c.isHighlyUtilized() && (c.key.headroomPercent != 0 || c.key.allowsProbation)
	c.pool.waitingClasses[c] = struct{}{}
}

// activate makes the next pass visit all tasks of the class and all gangs that wait for
// it.
func (c *equivalenceClass) activate() {
	c.activateSubQueues()
	for sub := range c.awaitingGangs {
		sub.Activate()
	}
}

// activateSubQueues makes the next pass visit the tasks of the class that are not in a
// gang.
func (c *equivalenceClass) activateSubQueues() {
	c.unschedulable, c.blockedByUtilization = false, false
	c.unregisterIfIdle()
	for sub := range c.subQueues {
		sub.Activate()
	}
}

// unregisterIfIdle removes the class from the set of its pool that is compared with
// changed workers, unless the class is unschedulable or a gang still waits for it.
func (c *equivalenceClass) unregisterIfIdle() {
	if c.unschedulable || len(c.awaitingGangs) > 0 {
		return
	}
	c.activationThreshold = math.MaxUint64
	delete(c.pool.waitingClasses, c)
}

// onWorkerChanged activates the tasks and gangs that may fit on a changed worker.
func (c *equivalenceClass) onWorkerChanged(w *worker) {
	if c.unschedulable && c.mightFitOn(w) {
		c.activateSubQueues()
	}
	if len(c.awaitingGangs) > 0 {
		c.freedFits += c.freedFitsOn(w)
		c.activateGangs()
	}
}

// classKey is the shape of a task: everything that decides where it fits. The step is
// part of the shape only with a spread rule, and the queue only while it has a
// reservation, so that as many tasks as possible share a class. Preferences are not part
// of it, except through waitsForPreferred.
type classKey struct {
	selector    selector
	need        api.Resources
	queue       string
	preemptible bool
	// allowsProbation allows workers on probation.
	allowsProbation bool
	// waitsForPreferred is set if the labels of the selector include those that the task
	// prefers. The class then excludes workers that are slow or restricted.
	waitsForPreferred bool
	// untilCancelled allows the class to take any free capacity as a last resort.
	untilCancelled bool
	// headroomPercent is the percentage of a worker that must stay free.
	headroomPercent int
	// duration is the maximum duration of a run; 0 means unlimited.
	duration     record.Millis
	spreadBy     string
	maxPerDomain int
	step         record.StepID
}

// classKeyOf returns the key of the class of a task under the current rules. It combines
// the conditions of queues, reservations, preemption and the locality wait.
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
		key.headroomPercent = headroomPercentOf(task, q.Rule())
	}
	if spec.Spread != nil {
		key.spreadBy = spec.Spread.By
		key.maxPerDomain = max(spec.Spread.MaxPerDomain, 1)
		key.step = id.StepID()
	}
	return key
}

// durationOf returns the maximum duration of a run of the spec, rounded up to whole
// seconds to limit the number of classes. 0 means unlimited.
func durationOf(spec *api.TaskSpec) record.Millis {
	const second = 1000
	longest := record.MillisOf(spec.MaxDuration.Std())
	if longest <= 0 {
		return 0
	}
	return (longest + second - 1) / second * second
}

// canonicalLabels returns the same text for equal label sets. Keys and values are quoted,
// so that different sets with separators in their texts give different results.
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
