package record

import (
	"cmp"
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// runTable contains the open runs.
type runTable struct {
	// byWorkerID maps each worker incarnation that has open runs to these runs.
	byWorkerID map[string]*workerLoad
	// total counts the open runs.
	total int
}

// workerLoad contains the open runs of one worker incarnation.
type workerLoad struct {
	// used is the sum of the resources of runs.
	used api.Resources
	// runs is ordered by compareRuns.
	runs []*Run
}

func newRunTable() runTable { return runTable{byWorkerID: make(map[string]*workerLoad)} }

// add adds an open run and counts it in its worker's load, its occurrence and its
// job.
func (t *runTable) add(run *Run) {
	load := t.byWorkerID[run.WorkerID]
	if load == nil {
		load = &workerLoad{}
		t.byWorkerID[run.WorkerID] = load
	}
	load.used = load.used.Add(run.Task.Spec.Resources)
	position, _ := load.search(run)
	load.runs = slices.Insert(load.runs, position, run)
	run.Task.Step.Job.openRuns++
	run.Task.Step.occurrence.openRuns++
	t.total++
}

// remove removes a run that is being closed and subtracts it from the counts of its
// occurrence and its job.
func (t *runTable) remove(run *Run) {
	load := t.byWorkerID[run.WorkerID]
	load.used = load.used.Sub(run.Task.Spec.Resources)
	if position, found := load.search(run); found {
		load.runs = slices.Delete(load.runs, position, position+1)
	}
	if len(load.runs) == 0 {
		delete(t.byWorkerID, run.WorkerID)
	}
	run.Task.Step.Job.openRuns--
	run.Task.Step.occurrence.openRuns--
	run.Task.Step.flagIfOccurrenceEnded()
	t.total--
}

// used returns the sum of the resources of the open runs on a worker incarnation.
func (t *runTable) used(workerID string) api.Resources {
	if load := t.byWorkerID[workerID]; load != nil {
		return load.used
	}
	return api.Resources{}
}

// hasRunsOn reports whether a worker incarnation has an open run.
func (t *runTable) hasRunsOn(workerID string) bool {
	return t.byWorkerID[workerID] != nil
}

// sorted returns every open run, ordered by compareRuns.
func (t *runTable) sorted() []*Run {
	runs := make([]*Run, 0, t.total)
	for _, load := range t.byWorkerID {
		runs = append(runs, load.runs...)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// search returns the position of a run in runs, or the position at which to insert
// it.
func (l *workerLoad) search(run *Run) (position int, found bool) {
	return slices.BinarySearchFunc(l.runs, run, compareRuns)
}

// compareRuns orders runs by job, occurrence, step, task and number.
func compareRuns(a, b *Run) int {
	return cmp.Or(
		strings.Compare(a.Task.ID.Job, b.Task.ID.Job),
		cmp.Compare(a.Task.ID.Occurrence, b.Task.ID.Occurrence),
		strings.Compare(a.Task.ID.Step, b.Task.ID.Step),
		cmp.Compare(a.Task.ID.Index, b.Task.ID.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
