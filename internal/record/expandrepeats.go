package record

import "github.com/decklever/decklever/api"

// Repetition is the progress of a repeating job. Ended occurrences are kept only as
// counts, and occurrences that have not been added take no memory.
type Repetition struct {
	// Next is the number of the next occurrence to add, or Job.Occurrences if
	// all have been added.
	Next int `cbor:"1,keyasint"`
	// Succeeded, Failed and Cancelled count ended occurrences by outcome.
	// Cancelled includes the occurrences that were never added because the job
	// was cancelled.
	Succeeded int `cbor:"2,keyasint,omitempty"`
	Failed    int `cbor:"3,keyasint,omitempty"`
	Cancelled int `cbor:"4,keyasint,omitempty"`
	// AllowedFailures applies to tasks whose spec sets no limit. It is the
	// queue's default at the time when the job was accepted.
	AllowedFailures int `cbor:"5,keyasint"`
}

// applyExpandRepeats adds the occurrences that are due, in ascending order. An
// occurrence that would give the job too many open tasks is left to a later command.
func (m *Machine) applyExpandRepeats(expand *ExpandRepeats) {
	for _, expansion := range expand.Jobs {
		job := m.state.jobs.byID[expansion.Job]
		if job == nil || job.Repetition == nil {
			continue
		}
		for job.canAddOccurrence(expansion.Through) {
			m.addNextOccurrence(job)
		}
		m.archiveJobIfComplete(job)
	}
}

// canAddOccurrence reports whether the next occurrence has a number of at most
// through and may be added now. An occurrence may be added if the job has no open
// tasks, or if it has at most api.MaxOpenTasksPerJob with that occurrence.
func (j *Job) canAddOccurrence(through int) bool {
	if j.Repetition.Next > through || j.Repetition.Next >= j.Occurrences() {
		return false
	}
	return j.OpenTasks == 0 || j.OpenTasks+j.Spec.TaskCount() <= api.MaxOpenTasksPerJob
}

// addNextOccurrence adds the next occurrence of a repeating job and starts it.
func (m *Machine) addNextOccurrence(job *Job) {
	added := job.addOccurrence(job.Repetition.Next)
	added.initializeTasks(job.Repetition.AllowedFailures)
	job.Repetition.Next++
	m.state.addSteps(job, added.steps)
	m.emit(OccurrenceAdded{Job: job, Occurrence: added.number})
	m.startOccurrence(added)
}
