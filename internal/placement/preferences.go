package placement

import (
	"maps"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/preferredlabels"
	"github.com/decklever/decklever/internal/placement/resources"
)

// preferredDomainOf returns the domain in which the next task of a step is to lie. The
// step keeps its domain for as long as the task fits there; then it gets another one.
func (f *targetFinder) preferredDomainOf(w *waiting) string {
	s := f.steps.get(w.ID.StepID())
	if s.preferredDomain != "" && w.class.fitsInDomain(w.Colocate, s.preferredDomain, f.workers.sizeOf(w.class)) {
		return s.preferredDomain
	}
	s.preferredDomain = w.class.choosePreferredDomain(w.Colocate, f.workers.sizeOf(w.class), max(w.StepSize-s.runs, 1))
	return s.preferredDomain
}

// fitsInDomain reports whether a task of the class fits on a worker of the domain.
func (c *equivalenceClass) fitsInDomain(by, domain string, least float64) bool {
	return slices.ContainsFunc(c.pool.withFreeSize(least), func(w *worker) bool {
		here, ok := w.Domain(by)
		return ok && here == domain && c.fitsOn(w)
	})
}

// choosePreferredDomain returns the domain for the rest of a step: of those in which all
// that is wanted fits the tightest, else the one in which most of it does; ties by name.
// It is empty if no worker has such a domain.
func (c *equivalenceClass) choosePreferredDomain(by string, least float64, wanted int) string {
	fitsIn := map[string]int{}
	left := map[string]int{}
	for _, w := range c.pool.withFreeSize(least) {
		domain, ok := w.Domain(by)
		if !ok || !c.fitsOn(w) {
			continue
		}
		// Counted up to twice what is wanted: enough to tell a tight domain from a wide
		// one.
		here := resources.FitCount(c.key.need, c.availableOn(w), 2*wanted)
		if c.spread != nil {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		fitsIn[domain] += here
	}
	best := ""
	for domain, count := range fitsIn {
		if best == "" || isBetterDomain(domain, count, best, fitsIn[best], wanted) {
			best = domain
		}
	}
	return best
}

// isBetterDomain orders domains for choosePreferredDomain.
func isBetterDomain(domain string, count int, other string, otherCount, wanted int) bool {
	complete, otherComplete := count >= wanted, otherCount >= wanted
	switch {
	case complete != otherComplete:
		return complete
	case count == otherCount:
		return domain < other
	default:
		return (count < otherCount) == complete
	}
}

// Reserve for preferred labels. A task that prefers a label takes any other worker where
// those with the label are full, and may run for a multiple of its time there. "Fill the
// fullest" fills some of them with tasks that would run as well anywhere. So, while some
// task has preferred a label of a worker lately, tasks that do not prefer it leave a share
// of that worker free for as long as others have free capacity.

// preferredReservePercent is the share of a preferred worker that others leave free, in
// hundredths.
const preferredReservePercent = 30

// preferredReserve owns the labels that tasks have preferred lately, and worker.preferred.
type preferredReserve struct {
	// disabled has no label recorded.
	disabled bool
	labels   *preferredlabels.Set

	clock   *clock
	workers *workerIndex
}

func newPreferredReserve(disabled bool, clock *clock, workers *workerIndex) *preferredReserve {
	return &preferredReserve{disabled: disabled, labels: preferredlabels.New(), clock: clock, workers: workers}
}

// any reports whether any label is preferred.
func (p *preferredReserve) any() bool { return p.labels.Len() > 0 }

// record takes in what a task that waits prefers.
func (p *preferredReserve) record(spec *api.TaskSpec) {
	if !p.disabled {
		p.labels.Record(spec.Prefer, p.clock.now)
	}
}

// describe records on a worker whose description changed whether a label of it is
// preferred.
func (p *preferredReserve) describe(w *worker) { w.preferred = p.labels.Matches(w.Labels) }

// refresh records the same on all workers, if labels came or went.
func (p *preferredReserve) refresh() {
	if !p.labels.Refresh(p.clock.now) {
		return
	}
	for _, w := range p.workers.byID {
		p.describe(w)
	}
}

// leavesPreferredReserve reports whether a task leaves those that prefer the worker their
// share of it, or is one of them.
func leavesPreferredReserve(spec *api.TaskSpec, w *worker) bool {
	if !w.preferred || len(spec.Prefer) > 0 && w.HasLabels(spec.Prefer) {
		return true
	}
	return fits(spec.Resources.Add(resources.Percent(w.Capacity, preferredReservePercent)), w.free)
}

// Locality wait: a task may wait a bounded time for a worker with the labels that it
// prefers. Whoever adds it sets WaitsForPreferred and takes that back later. Meanwhile
// it is of a class of its own, so that no other task waits for it, and that class
// preempts nobody. Where no sound worker has the labels, it takes any at once.

// requirements is what a task requires of its worker now.
type requirements struct {
	// labels are those that the worker must have.
	labels map[string]string
	// preferred is set while labels hold those that the task prefers, too.
	preferred bool
}

// requirementsOf is what the task requires now.
func (x *workerIndex) requirementsOf(task *Task) requirements {
	required := requirements{labels: task.Spec.Labels}
	if !task.WaitsForPreferred || len(task.Spec.Prefer) == 0 {
		return required
	}
	wanted := requirements{labels: maps.Clone(task.Spec.Prefer), preferred: true}
	maps.Copy(wanted.labels, task.Spec.Labels)
	if !x.hasSound(task.Spec, wanted.labels) {
		return required
	}
	return wanted
}

// hasSound reports whether some sound worker that takes work has the labels, and the
// capacity when it is empty.
func (x *workerIndex) hasSound(spec *api.TaskSpec, labels map[string]string) bool {
	for _, w := range x.byID {
		if isUsable(w) && isSound(w) && fits(spec.Resources, w.Capacity) &&
			w.Offers(spec.Service) && w.HasLabels(labels) {
			return true
		}
	}
	return false
}

// isSound reports whether it is worth waiting for the worker.
func isSound(w *worker) bool { return !w.Slow && !w.restricted }
