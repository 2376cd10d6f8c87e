package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement/resources"
)

// placementTarget is where a task may run: in a reserved slot of the worker if slot is
// set, else in its free capacity outside of slots of the task's own queue.
type placementTarget struct {
	worker *worker
	slot   *slotSet
}

// targetFinder searches workers for a waiting task: it selects the feasible workers
// (filter) and the best of those (score). The only state it changes is a step's
// preferred domain.
type targetFinder struct {
	// disabledFeatures holds the policies that are disabled for an experiment.
	disabledFeatures featuregate.DisabledSet

	workers   *workerIndex
	steps     *stepTable
	preferred *preferredReserve
}

// findTarget returns a target that is free now, and false if there is none. It tries, in
// this order, reserved slots, workers on which the task leaves headroom, workers with
// headroom ignored, and restricted workers.
func (f *targetFinder) findTarget(w *waitingTask) (placementTarget, bool) {
	if s := w.class.fullestFreeSlot(); s != nil {
		return placementTarget{worker: s.worker, slot: s}, true
	}
	best := f.bestWorker(w)
	if best == nil {
		best = ignoringHeadroom(w.class, func() *worker { return f.bestWorker(w) })
	}
	if best == nil && f.workers.anyRestricted() && !f.disabledFeatures.Has(featuregate.LastResortCapacity) {
		best = withRestricted(w.class, func() *worker { return f.bestWorker(w) })
	}
	return placementTarget{worker: best}, best != nil
}

// placementOrder sorts gang members by need, largest first, as in first-fit decreasing:
// small members fit into the capacity that large ones leave.
func (f *targetFinder) placementOrder(tasks []*waitingTask) []*waitingTask {
	members := slices.Clone(tasks)
	slices.SortFunc(members, func(a, b *waitingTask) int {
		if byNeed := cmp.Compare(f.workers.sizeOf(b.class), f.workers.sizeOf(a.class)); byNeed != 0 {
			return byNeed
		}
		return compareWaiting(a, b)
	})
	return members
}

// fullestFreeSlot returns a free slot that tasks of the class may use, on the fullest
// worker that has the capacity for one now; nil if there is none.
func (c *equivalenceClass) fullestFreeSlot() *slotSet {
	var best *slotSet
	for _, r := range c.reservations {
		for _, s := range r.slots {
			if !c.canEnterSlot(s) || !fits(c.key.need, s.worker.free) {
				continue
			}
			if best == nil || compareFullest(s.worker, best.worker) < 0 {
				best = s
			}
		}
	}
	return best
}

// canEnterSlot reports whether a task of the class may run in a slot of the set, provided
// that the worker has the capacity.
func (c *equivalenceClass) canEnterSlot(s *slotSet) bool {
	return s.used < s.slots && c.isSlotReservedFor(s) && withinSpread(c.spread, &s.worker.Worker) && c.admits(s.worker)
}

// isSlotReservedFor reports whether the set belongs to a reservation for the class's
// queue, its window is open now, a task of the class fits in a slot, and the worker
// matches the class.
func (c *equivalenceClass) isSlotReservedFor(s *slotSet) bool {
	r := s.reservation
	if c.key.queue == "" || r.Queue != c.key.queue || !r.openAt(c.clock.now) || !c.key.need.Fits(r.SlotSize) {
		return false
	}
	reservationSelector, classSelector := r.pool.selector, c.pool.selector
	if reservationSelector.service == classSelector.service && reservationSelector.labels == classSelector.labels {
		return true
	}
	return (r.Service == "" || r.Service == classSelector.service) && c.pool.matches(s.worker)
}

// freeSlots counts the free slots that tasks of the class may use.
func (c *equivalenceClass) freeSlots(slots []*slotSet) int {
	count := 0
	for _, s := range slots {
		if c.canEnterSlot(s) {
			count += s.slots - s.used
		}
	}
	return count
}

// compareFullest orders workers for best fit: the least free first, ties by name. A task
// needs the same on every worker, so the order by free capacity before placing it equals
// the order after it.
func compareFullest(a, b *worker) int {
	if bySize := cmp.Compare(a.freeSize, b.freeSize); bySize != 0 {
		return bySize
	}
	return compareName(a, b)
}

// compareLeastUnreserved is compareFullest by the free capacity that no reserved slot
// needs.
func compareLeastUnreserved(a, b *worker) int {
	if bySize := cmp.Compare(a.unreservedSize, b.unreservedSize); bySize != 0 {
		return bySize
	}
	return compareName(a, b)
}

// compareName orders workers by name and then by ID, which makes the order total.
func compareName(a, b *worker) int {
	if byName := cmp.Compare(a.Name, b.Name); byName != 0 {
		return byName
	}
	return cmp.Compare(a.ID, b.ID)
}

// sizeOf returns the normalized size of the need of one task of the class.
func (x *workerIndex) sizeOf(c *equivalenceClass) float64 {
	return resources.NormalizedSize(c.key.need, x.largestCapacity)
}

// Costs of a worker for a task, one for each soft constraint that the worker breaks. Each
// cost is greater than the sum of those after it, so that constraints are weighed in this
// order. No cost makes a task wait.
const (
	// costFailedBefore: a run of the task failed on the worker.
	costFailedBefore = 1 << (6 - iota)
	// costRestricted: the worker is on probation or suspect.
	costRestricted
	// costSlow: the worker is slower than others at the same work.
	costSlow
	// costNotPreferred: the worker lacks a label of TaskSpec.Prefer.
	costNotPreferred
	// costOtherDomain: the worker is outside of the step's preferred domain.
	costOtherDomain
	// costOverSoftLimit: the worker holds softLimitPerWorker or more tasks of the step.
	costOverSoftLimit
	// costPreferredReserve: the task would use the reserve for tasks that prefer the
	// worker; see preferredReserve.
	costPreferredReserve
)

// ranking holds the criteria by which workers are ranked for one task.
type ranking struct {
	task *Task
	// step counts the step's open runs; nil if there are none or no soft limit applies.
	step *step
	// softLimit is softLimitPerWorker of the step; used only if step is set.
	softLimit int
	// preferredDomain is the preferred domain of the step; anyDomain is set if the task
	// prefers none or the policy is disabled.
	preferredDomain string
	anyDomain       bool
}

// softLimitPerWorker returns the number of a step's tasks on one worker that makes other
// workers preferred for the next one: half of the step, rounded up. The loss of one worker then
// does not end the complete step, and the step still runs on few workers.
func softLimitPerWorker(stepSize int) int { return (stepSize + 1) / 2 }

// hasPreferences reports whether the best worker for the task may differ from the
// fullest one on which it fits.
func (f *targetFinder) hasPreferences(task *Task) bool {
	return len(task.Avoid) > 0 || task.Colocate != "" || task.StepSize > 1 ||
		len(task.Spec.Prefer) > 0 || f.preferred.hasLabels() || f.workers.slowCount > 0 || f.workers.anyRestricted()
}

// bestWorker returns the worker to place a waiting task on, or nil: of the workers on
// which the task fits, the probationTarget if there is one, else the fullest of those with
// the lowest cost. For a task without preferences the search ends at the first worker on
// which it fits.
func (f *targetFinder) bestWorker(w *waitingTask) *worker {
	c, minSize := w.class, f.workers.sizeOf(w.class)
	fullest := c.pool.fullest(c, minSize)
	if fullest == nil || !f.hasPreferences(&w.Task) {
		return fullest
	}
	if onProbation := f.probationTarget(w); onProbation != nil {
		return onProbation
	}
	rank := f.rankingFor(w)
	if rank.cost(fullest) == 0 {
		return fullest
	}
	return c.pool.lowestCost(c, minSize, &rank)
}

// rankingFor returns the criteria by which workers are ranked for a task.
func (f *targetFinder) rankingFor(w *waitingTask) ranking {
	rank := ranking{task: &w.Task, anyDomain: w.Colocate == "" || f.disabledFeatures.Has(featuregate.PreferredDomain)}
	if w.StepSize > 1 && !f.disabledFeatures.Has(featuregate.StepShare) {
		rank.step = f.steps.byID[w.ID.StepID()]
		rank.softLimit = softLimitPerWorker(w.StepSize)
	}
	if !rank.anyDomain {
		rank.preferredDomain = f.preferredDomainOf(w)
	}
	return rank
}

// cost returns the sum of the costs of the soft constraints that the worker breaks; 0 if
// it meets them all.
func (r *ranking) cost(w *worker) int {
	cost := 0
	if slices.Contains(r.task.Avoid, w.Name) {
		cost += costFailedBefore
	}
	if w.restricted {
		cost += costRestricted
	}
	if w.Slow {
		cost += costSlow
	}
	if !w.HasLabels(r.task.Spec.Prefer) {
		cost += costNotPreferred
	}
	if !r.inPreferredDomain(w) {
		cost += costOtherDomain
	}
	if r.step != nil && r.step.runsByWorker[w] >= r.softLimit {
		cost += costOverSoftLimit
	}
	if !leavesPreferredReserve(r.task.Spec, w) {
		cost += costPreferredReserve
	}
	return cost
}

// inPreferredDomain reports whether the worker is in the preferred domain, or the task
// has none.
func (r *ranking) inPreferredDomain(w *worker) bool {
	if r.anyDomain {
		return true
	}
	domain, ok := w.Domain(r.task.Colocate)
	return ok && domain == r.preferredDomain
}

// lowestCost returns the worker of the lowest cost on which the class fits, the first in
// pool order among equals; nil if it fits on none. minSize is the normalized size of the
// class's need.
func (p *pool) lowestCost(c *equivalenceClass, minSize float64, rank *ranking) *worker {
	var best *worker
	lowest := 0
	for _, w := range p.withFreeSize(minSize) {
		if !c.fitsOn(w) {
			continue
		}
		cost := rank.cost(w)
		if best == nil || cost < lowest {
			best, lowest = w, cost
		}
		if cost == 0 {
			break
		}
	}
	return best
}
