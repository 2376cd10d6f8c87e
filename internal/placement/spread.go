package placement

import "github.com/decklever/decklever/internal/record"

// step counts the open runs of one step, as spread rules need it. It lives while it has
// open runs or classes with a spread rule.
type step struct {
	key  record.StepID
	runs int
	// workers counts open runs by worker.
	workers map[*worker]int
	// domains counts open runs by Spread.By, then by domain. Only kinds of domains that a
	// rule names are counted.
	domains map[string]map[string]int
	// preferredDomain is the domain in which tasks are placed that want one in common.
	// targetFinder writes it.
	preferredDomain string
	// classes are those with a spread rule on this step. classIndex writes it.
	classes map[*equivalenceClass]struct{}
}

// spreadRule is api.Spread applied to one step.
type spreadRule struct {
	by           string
	maxPerDomain int
	step         *step
}

// remaining is how many more runs the worker's domain may take.
func (r *spreadRule) remaining(worker *Worker) int {
	domain, ok := worker.Domain(r.by)
	if !ok {
		return 0
	}
	return r.maxPerDomain - r.step.domains[r.by][domain]
}

// holds reports whether the worker's domain has no more runs than allowed.
func (r *spreadRule) holds(worker *Worker) bool {
	_, ok := worker.Domain(r.by)
	return ok && r.remaining(worker) >= 0
}

// stepTable owns the counts of steps.
type stepTable struct{ byID map[record.StepID]*step }

func newStepTable() *stepTable { return &stepTable{byID: map[record.StepID]*step{}} }

// get returns the state of a step and makes it if there is none.
func (t *stepTable) get(key record.StepID) *step {
	if found, ok := t.byID[key]; ok {
		return found
	}
	made := &step{
		key:     key,
		workers: map[*worker]int{},
		domains: map[string]map[string]int{},
		classes: map[*equivalenceClass]struct{}{},
	}
	t.byID[key] = made
	return made
}

// forgetIfUnused drops a step that has neither open runs nor classes.
func (t *stepTable) forgetIfUnused(s *step) {
	if s.runs == 0 && len(s.classes) == 0 {
		delete(t.byID, s.key)
	}
}

// track starts counting by another kind of domain.
func (s *step) track(by string) {
	if _, ok := s.domains[by]; ok {
		return
	}
	counts := map[string]int{}
	s.domains[by] = counts
	for worker, runs := range s.workers {
		addToDomain(counts, worker, by, runs)
	}
}

// count adds runs on a worker; a negative number takes them off.
func (s *step) count(worker *worker, runs int) {
	s.runs += runs
	s.workers[worker] += runs
	if s.workers[worker] == 0 {
		delete(s.workers, worker)
	}
	for by, counts := range s.domains {
		addToDomain(counts, worker, by, runs)
	}
}

// addToDomain counts in the domain of a worker. One that is not known yet has none;
// SetWorker counts its runs.
func addToDomain(counts map[string]int, worker *worker, by string, runs int) {
	if !worker.known {
		return
	}
	domain, ok := worker.Domain(by)
	if !ok {
		return
	}
	counts[domain] += runs
	if counts[domain] == 0 {
		delete(counts, domain)
	}
}

// activateStep lets the next pass look at classes whose spread rule counts runs of the
// step.
func activateStep(s *step) {
	for c := range s.classes {
		c.activate()
	}
}
