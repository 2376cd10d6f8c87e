package record

import (
	"slices"
	"strings"
)

// jobTable contains the live jobs.
type jobTable struct {
	byID map[string]*Job
	// sorted contains the live jobs in id order. Jobs that the current entry ended
	// remain in it until compact is called.
	sorted []*Job
	// taskTotal counts the tasks of live occurrences.
	taskTotal int
}

func newJobTable() jobTable { return jobTable{byID: make(map[string]*Job)} }

// add adds a job without counting its tasks; addSteps does that.
func (t *jobTable) add(job *Job) {
	t.byID[job.ID] = job
	position, _ := t.search(job.ID)
	t.sorted = slices.Insert(t.sorted, position, job)
}

// remove removes an ended job. The job stays in sorted until compact is called at
// the end of the entry.
func (t *jobTable) remove(job *Job) {
	delete(t.byID, job.ID)
	t.removeSteps(job.Steps)
}

// addSteps counts the tasks of steps that were added to a job.
func (t *jobTable) addSteps(steps []*Step) {
	for _, step := range steps {
		t.taskTotal += len(step.Tasks)
	}
}

// removeSteps subtracts the tasks of steps that are removed, with or without their
// job.
func (t *jobTable) removeSteps(steps []*Step) {
	for _, step := range steps {
		t.taskTotal -= len(step.Tasks)
	}
}

// maxSingleRemovals is the largest number of jobs for which removing them one at a
// time is cheaper than one pass over the complete list.
const maxSingleRemovals = 8

// compact removes ended jobs from sorted. One entry cannot both end a job and
// submit another one with its id, so each id occurs once in the list.
func (t *jobTable) compact(ended []*Job) {
	if len(ended) > maxSingleRemovals {
		t.sorted = slices.DeleteFunc(t.sorted, func(job *Job) bool {
			return t.byID[job.ID] != job
		})
		return
	}
	for _, job := range ended {
		if position, found := t.search(job.ID); found {
			t.sorted = slices.Delete(t.sorted, position, position+1)
		}
	}
}

// search returns the position of an id in sorted, or the position at which to
// insert it.
func (t *jobTable) search(id string) (position int, found bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(job *Job, id string) int {
		return strings.Compare(job.ID, id)
	})
}

// task returns a task of a live occurrence, or nil if it is not known.
func (t *jobTable) task(id TaskID) *Task {
	job := t.byID[id.Job]
	if job == nil {
		return nil
	}
	found := job.findOccurrence(id.Occurrence)
	if found == nil {
		return nil
	}
	for _, step := range found.steps {
		if step.Spec.Name != id.Step {
			continue
		}
		if id.Index < 0 || id.Index >= len(step.Tasks) {
			return nil
		}
		return step.Tasks[id.Index]
	}
	return nil
}
