package placement

import "github.com/decklever/decklever/internal/record"

// step counts the open runs of one step for spread rules. It exists while the step has
// open runs or classes with a spread rule.
type step struct {
	key  record.StepID
	runs int
	// runsByWorker counts open runs by worker.
	runsByWorker map[*worker]int
	// runsByDomain counts open runs by Spread.By, then by domain. It has only the values
	// of Spread.By that spread rules on this step have named.
	runsByDomain map[string]map[string]int
	// preferredDomain is the domain for tasks of the step that are to be colocated; empty
	// if none is chosen. targetFinder writes it.
	preferredDomain string
	// classes are the classes with a spread rule on this step. classIndex writes it.
	classes map[*equivalenceClass]struct{}
}

// spreadRule is api.Spread applied to one step.
type spreadRule struct {
	by           string
	maxPerDomain int
	step         *step
}

// remaining returns how many more runs the rule allows in the worker's domain: 0 if the
// worker has no domain, negative if the domain has more runs than allowed.
func (r *spreadRule) remaining(worker *Worker) int {
	domain, ok := worker.Domain(r.by)
	if !ok {
		return 0
	}
	return r.maxPerDomain - r.step.runsByDomain[r.by][domain]
}

// isSatisfiedOn reports whether the worker has a domain, with no more runs than allowed.
func (r *spreadRule) isSatisfiedOn(worker *Worker) bool {
	_, ok := worker.Domain(r.by)
	return ok && r.remaining(worker) >= 0
}

// stepTable owns the run counts of all steps.
type stepTable struct{ byID map[record.StepID]*step }

func newStepTable() *stepTable { return &stepTable{byID: map[record.StepID]*step{}} }

// get returns the state of a step and creates it if there is none.
func (t *stepTable) get(key record.StepID) *step {
	if found, ok := t.byID[key]; ok {
		return found
	}
	created := &step{
		key:          key,
		runsByWorker: map[*worker]int{},
		runsByDomain: map[string]map[string]int{},
		classes:      map[*equivalenceClass]struct{}{},
	}
	t.byID[key] = created
	return created
}

// deleteIfUnused removes a step that has neither open runs nor classes.
func (t *stepTable) deleteIfUnused(s *step) {
	if s.runs == 0 && len(s.classes) == 0 {
		delete(t.byID, s.key)
	}
}

// trackDomains starts counting the step's runs by another value of Spread.By. It has no effect
// if they are counted by it already.
func (s *step) trackDomains(by string) {
	if _, ok := s.runsByDomain[by]; ok {
		return
	}
	counts := map[string]int{}
	s.runsByDomain[by] = counts
	for worker, runs := range s.runsByWorker {
		addToDomain(counts, worker, by, runs)
	}
}

// addRuns adds runs on a worker; a negative number subtracts them.
func (s *step) addRuns(worker *worker, runs int) {
	s.runs += runs
	s.runsByWorker[worker] += runs
	if s.runsByWorker[worker] == 0 {
		delete(s.runsByWorker, worker)
	}
	for by, counts := range s.runsByDomain {
		addToDomain(counts, worker, by, runs)
	}
}

// addToDomain adds runs to the count of the worker's domain. A worker that is not known
// yet has no domain; SetWorker counts its runs later.
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

// activateStep has the next pass try the classes again whose spread rule counts runs of
// the step.
func activateStep(s *step) {
	for c := range s.classes {
		c.activate()
	}
}
