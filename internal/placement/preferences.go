package placement

import (
	"maps"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/preferredlabels"
	"github.com/decklever/decklever/internal/placement/resources"
)

// preferredDomainOf returns the domain in which to place the next task of a step, empty
// if there is none. The step keeps its preferred domain while the task fits there;
// otherwise another one is chosen.
func (f *targetFinder) preferredDomainOf(w *waitingTask) string {
	s := f.steps.get(w.ID.StepID())
	if s.preferredDomain != "" && w.class.fitsInDomain(w.Colocate, s.preferredDomain, f.workers.sizeOf(w.class)) {
		return s.preferredDomain
	}
	s.preferredDomain = w.class.choosePreferredDomain(w.Colocate, f.workers.sizeOf(w.class), max(w.StepSize-s.runs, 1))
	return s.preferredDomain
}

// fitsInDomain reports whether a task of the class fits on a worker of the domain.
func (c *equivalenceClass) fitsInDomain(by, domain string, minSize float64) bool {
	return slices.ContainsFunc(c.pool.withFreeSize(minSize), func(w *worker) bool {
		workerDomain, ok := w.Domain(by)
		return ok && workerDomain == domain && c.fitsOn(w)
	})
}

// choosePreferredDomain returns the domain for the remaining tasks of a step, of which
// there are taskCount: of the domains in which all of them fit the one with the least
// capacity for them, else the one in which most fit; ties by name. It is empty if the
// class fits on no worker that has a domain.
func (c *equivalenceClass) choosePreferredDomain(by string, minSize float64, taskCount int) string {
	fitCounts := map[string]int{}
	remaining := map[string]int{}
	for _, w := range c.pool.withFreeSize(minSize) {
		domain, ok := w.Domain(by)
		if !ok || !c.fitsOn(w) {
			continue
		}
		// Counting up to twice the tasks wanted is enough to distinguish a tight domain
		// from a wide one.
		count := resources.FitCount(c.key.need, c.availableOn(w), 2*taskCount)
		if c.spread != nil {
			count = takeFromDomain(remaining, c.spread, &w.Worker, count)
		}
		fitCounts[domain] += count
	}
	best := ""
	for domain, count := range fitCounts {
		if best == "" || isBetterDomain(domain, count, best, fitCounts[best], taskCount) {
			best = domain
		}
	}
	return best
}

// isBetterDomain reports whether choosePreferredDomain prefers domain, in which count
// tasks fit, to other, in which otherCount tasks fit.
func isBetterDomain(domain string, count int, other string, otherCount, taskCount int) bool {
	complete, otherComplete := count >= taskCount, otherCount >= taskCount
	switch {
	case complete != otherComplete:
		return complete
	case count == otherCount:
		return domain < other
	default:
		return (count < otherCount) == complete
	}
}

// Reserve for preferred labels. A task that prefers a label is placed on another worker
// if the workers with the label are full, and may take several times as long there. Best
// fit alone would fill some workers that have the label with tasks that run equally well
// anywhere. So, while a task has preferred a label of a worker recently, tasks that do
// not prefer the worker leave a share of it free as long as other workers have free
// capacity.

// preferredReservePercent is the percentage of a preferred worker that tasks which do not
// prefer it leave free.
const preferredReservePercent = 30

// preferredReserve owns the labels that tasks have preferred recently, and
// worker.preferred.
type preferredReserve struct {
	// disabled means that no labels are recorded, so that there is no reserve.
	disabled bool
	labels   *preferredlabels.Set

	clock   *clock
	workers *workerIndex
}

func newPreferredReserve(disabled bool, clock *clock, workers *workerIndex) *preferredReserve {
	return &preferredReserve{disabled: disabled, labels: preferredlabels.New(), clock: clock, workers: workers}
}

// hasLabels reports whether any label is recorded as preferred.
func (p *preferredReserve) hasLabels() bool { return p.labels.Len() > 0 }

// recordLabels adds the labels that a waiting task prefers.
func (p *preferredReserve) recordLabels(spec *api.TaskSpec) {
	if !p.disabled {
		p.labels.Record(spec.Prefer, p.clock.now)
	}
}

// updateWorker updates worker.preferred of a worker whose description changed.
func (p *preferredReserve) updateWorker(w *worker) { w.preferred = p.labels.Matches(w.Labels) }

// refreshWorkers drops expired labels and, if the set of labels changed, updates
// worker.preferred of all workers.
func (p *preferredReserve) refreshWorkers() {
	if !p.labels.Refresh(p.clock.now) {
		return
	}
	for _, w := range p.workers.byID {
		p.updateWorker(w)
	}
}

// leavesPreferredReserve reports whether a task prefers the worker, leaves
// preferredReservePercent of it free, or need not because the worker is not preferred.
func leavesPreferredReserve(spec *api.TaskSpec, w *worker) bool {
	if !w.preferred || len(spec.Prefer) > 0 && w.HasLabels(spec.Prefer) {
		return true
	}
	return fits(spec.Resources.Add(resources.Percent(w.Capacity, preferredReservePercent)), w.free)
}

// Locality wait: a task may wait a bounded time for a worker with the labels that it
// prefers. The caller of Engine.Add sets WaitsForPreferred, and ends the wait by adding the
// task again without it. A waiting task is in another equivalence class than tasks that do
// not wait, so that it does not hold them up, and that class never preempts. If no healthy
// worker has the labels, the task may be placed on any worker at once.

// requirements holds the labels that a task requires of its worker now.
type requirements struct {
	// labels are the labels that the worker must have.
	labels map[string]string
	// preferred is set while labels include those that the task prefers.
	preferred bool
}

// requirementsOf returns what the task requires now: also its preferred labels while it
// waits for them and a healthy worker has them.
func (x *workerIndex) requirementsOf(task *Task) requirements {
	required := requirements{labels: task.Spec.Labels}
	if !task.WaitsForPreferred || len(task.Spec.Prefer) == 0 {
		return required
	}
	withPreferred := requirements{labels: maps.Clone(task.Spec.Prefer), preferred: true}
	maps.Copy(withPreferred.labels, task.Spec.Labels)
	if !x.hasHealthyWorker(task.Spec, withPreferred.labels) {
		return required
	}
	return withPreferred
}

// hasHealthyWorker reports whether some usable and healthy worker offers the service, has
// the labels, and could hold the task when empty.
func (x *workerIndex) hasHealthyWorker(spec *api.TaskSpec, labels map[string]string) bool {
	for _, w := range x.byID {
		if isUsable(w) && isHealthy(w) && fits(spec.Resources, w.Capacity) &&
			w.Offers(spec.Service) && w.HasLabels(labels) {
			return true
		}
	}
	return false
}

// isHealthy reports whether a task with a locality wait should wait for the worker: it is
// neither slow nor restricted.
func isHealthy(w *worker) bool { return !w.Slow && !w.restricted }
