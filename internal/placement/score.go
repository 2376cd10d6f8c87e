package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement/resources"
)

// placementTarget is where a task may run: a reserved slot if one is named, else what a
// worker has free outside of slots of the task's own queue.
type placementTarget struct {
	worker *worker
	slot   *slotSet
}

// targetFinder searches the workers for a task that waits: which are feasible (Filter),
// and of these the best (Score). It changes nothing but the preferred domain of a step.
type targetFinder struct {
	// off are the policies that an experiment switches off.
	off featuregate.DisabledSet

	workers   *workerIndex
	steps     *stepTable
	preferred *preferredReserve
}

// findTarget finds a target that is free now: reserved slots first, then workers that
// leave headroom, then any, at last restricted ones.
func (f *targetFinder) findTarget(w *waiting) (placementTarget, bool) {
	if s := w.class.fullestFreeSlot(); s != nil {
		return placementTarget{worker: s.worker, slot: s}, true
	}
	on := f.fullest(w)
	if on == nil {
		on = ignoringHeadroom(w.class, func() *worker { return f.fullest(w) })
	}
	if on == nil && f.workers.anyRestricted() && !f.off.Has(featuregate.LastResortCapacity) {
		on = withRestricted(w.class, func() *worker { return f.fullest(w) })
	}
	return placementTarget{worker: on}, on != nil
}

// placementOrder puts gang members that need most first, as in first fit decreasing: the
// small ones fit in what these leave.
func (f *targetFinder) placementOrder(tasks []*waiting) []*waiting {
	members := slices.Clone(tasks)
	slices.SortFunc(members, func(a, b *waiting) int {
		if byNeed := cmp.Compare(f.workers.sizeOf(b.class), f.workers.sizeOf(a.class)); byNeed != 0 {
			return byNeed
		}
		return compareWaiting(a, b)
	})
	return members
}

// fullestFreeSlot returns the free slot on the fullest worker that has its capacity now,
// or nil.
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

// canEnterSlot reports whether a task of the class may run in a slot of the set, if the
// worker has the capacity.
func (c *equivalenceClass) canEnterSlot(s *slotSet) bool {
	return s.used < s.slots && c.isSlotReservedFor(s) && withinSpread(c.spread, &s.worker.Worker) && c.admits(s.worker)
}

// isSlotReservedFor reports whether the set is of a reservation for the class, in its
// window and on a worker that serves the class.
func (c *equivalenceClass) isSlotReservedFor(s *slotSet) bool {
	r := s.reservation
	if c.key.queue == "" || r.Queue != c.key.queue || !r.openAt(c.clock.now) || !c.key.need.Fits(r.SlotSize) {
		return false
	}
	served, wanted := r.pool.selector, c.pool.selector
	if served.service == wanted.service && served.labels == wanted.labels {
		return true
	}
	return (r.Service == "" || r.Service == wanted.service) && c.pool.matches(s.worker)
}

// freeSlots counts the slots of the sets that the class may enter.
func (c *equivalenceClass) freeSlots(slots []*slotSet) int {
	open := 0
	for _, s := range slots {
		if c.canEnterSlot(s) {
			open += s.slots - s.used
		}
	}
	return open
}

// compareFullest orders workers by "fill the fullest" (best fit): the least free first,
// ties by name. What a task takes is the same on every worker, so the order before
// placing is the order after it.
func compareFullest(a, b *worker) int {
	if bySize := cmp.Compare(a.freeSize, b.freeSize); bySize != 0 {
		return bySize
	}
	return compareName(a, b)
}

// compareLeastUnreserved is compareFullest by what no reserved slot needs.
func compareLeastUnreserved(a, b *worker) int {
	if bySize := cmp.Compare(a.unreservedSize, b.unreservedSize); bySize != 0 {
		return bySize
	}
	return compareName(a, b)
}

// compareName makes the order of workers total.
func compareName(a, b *worker) int {
	if byName := cmp.Compare(a.Name, b.Name); byName != 0 {
		return byName
	}
	return cmp.Compare(a.ID, b.ID)
}

// sizeOf is the size of what a task of the class needs.
func (x *workerIndex) sizeOf(c *equivalenceClass) float64 {
	return resources.NormalizedSize(c.key.need, x.largest)
}

// Costs of a worker for a task, by what the task would rather not have. Each is greater
// than the sum of those after it, so that they are weighed in this order. None ever
// makes a task wait.
const (
	// costFailedBefore: a run of the task failed on the worker.
	costFailedBefore = 1 << (6 - iota)
	// costRestricted: the worker is on probation or suspect.
	costRestricted
	// costSlow: the worker is slower than others at the same work.
	costSlow
	// costNotPreferred: the worker lacks a label of TaskSpec.Prefer.
	costNotPreferred
	// costOtherDomain: the worker lies outside of the step's preferred domain.
	costOtherDomain
	// costOverSoftLimit: the worker holds as many tasks of the step as it should.
	costOverSoftLimit
	// costPreferredReserve: the task would take what is left for tasks which prefer the
	// worker; see preferredReserve.
	costPreferredReserve
)

// ranking is what workers are ranked by for one task.
type ranking struct {
	task *Task
	// step holds the step's open runs; nil if there are none.
	step *step
	// softLimit is the number of runs of the step on one worker from which on others come
	// first; used with step only.
	softLimit int
	// domain is the preferred domain of the step; anyDomain is set if the task prefers
	// none.
	domain    string
	anyDomain bool
}

// softLimitPerWorker is how many tasks of a step one worker may hold before others come
// first: half, rounded up. So no single worker takes a whole step with it, and a step
// still lies on few workers.
func softLimitPerWorker(stepSize int) int { return (stepSize + 1) / 2 }

// hasPreferences reports whether the task may have to look past the fullest worker.
func (f *targetFinder) hasPreferences(task *Task) bool {
	return len(task.Avoid) > 0 || task.Colocate != "" || task.StepSize > 1 ||
		len(task.Spec.Prefer) > 0 || f.preferred.any() || f.workers.slow > 0 || f.workers.anyRestricted()
}

// fullest returns the worker that a task which waits takes, or nil: of those on which it
// fits the one that costs least, and of these the fullest. A task without preferences
// costs one look at each worker until the first on which it fits.
func (f *targetFinder) fullest(w *waiting) *worker {
	c, least := w.class, f.workers.sizeOf(w.class)
	first := c.pool.fullest(c, least)
	if first == nil || !f.hasPreferences(&w.Task) {
		return first
	}
	if tried := f.probationTarget(w); tried != nil {
		return tried
	}
	wanted := f.rankingFor(w)
	if wanted.cost(first) == 0 {
		return first
	}
	return c.pool.lowestCost(c, least, &wanted)
}

// rankingFor works out what a task ranks workers by.
func (f *targetFinder) rankingFor(w *waiting) ranking {
	wanted := ranking{task: &w.Task, anyDomain: w.Colocate == "" || f.off.Has(featuregate.PreferredDomain)}
	if w.StepSize > 1 && !f.off.Has(featuregate.StepShare) {
		wanted.step = f.steps.byID[w.ID.StepID()]
		wanted.softLimit = softLimitPerWorker(w.StepSize)
	}
	if !wanted.anyDomain {
		wanted.domain = f.preferredDomainOf(w)
	}
	return wanted
}

// cost is 0 for a worker that has all that is preferred.
func (s *ranking) cost(w *worker) int {
	cost := 0
	if slices.Contains(s.task.Avoid, w.Name) {
		cost += costFailedBefore
	}
	if w.restricted {
		cost += costRestricted
	}
	if w.Slow {
		cost += costSlow
	}
	if !w.HasLabels(s.task.Spec.Prefer) {
		cost += costNotPreferred
	}
	if !s.inPreferredDomain(w) {
		cost += costOtherDomain
	}
	if s.step != nil && s.step.workers[w] >= s.softLimit {
		cost += costOverSoftLimit
	}
	if !leavesPreferredReserve(s.task.Spec, w) {
		cost += costPreferredReserve
	}
	return cost
}

// inPreferredDomain reports whether the worker lies in the preferred domain, if there is
// one.
func (s *ranking) inPreferredDomain(w *worker) bool {
	if s.anyDomain {
		return true
	}
	domain, ok := w.Domain(s.task.Colocate)
	return ok && domain == s.domain
}

// lowestCost returns the worker that costs least, the fullest of equals.
func (p *pool) lowestCost(c *equivalenceClass, least float64, wanted *ranking) *worker {
	var best *worker
	lowest := 0
	for _, w := range p.withFreeSize(least) {
		if !c.fitsOn(w) {
			continue
		}
		cost := wanted.cost(w)
		if best == nil || cost < lowest {
			best, lowest = w, cost
		}
		if cost == 0 {
			break
		}
	}
	return best
}
