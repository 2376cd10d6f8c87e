package record

import "github.com/decklever/decklever/api"

// Repetition is the progress of a repeating job. Occurrences that have ended are
// only counted here; those that have not been added take no memory.
type Repetition struct {
	// Next is the number of the occurrence that is added next, or Job.Occurrences
	// if all were.
	Next int `cbor:"1,keyasint"`
	// Succeeded, Failed and Cancelled count ended occurrences by outcome.
	// Cancelled also counts those that a cancel kept from being added.
	Succeeded int `cbor:"2,keyasint,omitempty"`
	Failed    int `cbor:"3,keyasint,omitempty"`
	Cancelled int `cbor:"4,keyasint,omitempty"`
	// AllowedFailures applies to tasks that name none: the default of the queue
	// when the job was accepted.
	AllowedFailures int `cbor:"5,keyasint"`
}

// applyExpandRepeats adds the occurrences that fall due, one after the other. One
// for which the job has too many open tasks is left for a later command.
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

// canAddOccurrence reports whether the next occurrence is at most through, and may
// be open beside the live ones: a job's open tasks stay below
// api.MaxOpenTasksPerJob, or are those of one occurrence.
func (j *Job) canAddOccurrence(through int) bool {
	if j.Repetition.Next > through || j.Repetition.Next >= j.Occurrences() {
		return false
	}
	return j.OpenTasks == 0 || j.OpenTasks+j.Spec.TaskCount() <= api.MaxOpenTasksPerJob
}

// addNextOccurrence adds a repeating job's next occurrence.
func (m *Machine) addNextOccurrence(job *Job) {
	added := job.addOccurrence(job.Repetition.Next)
	added.initializeTasks(job.Repetition.AllowedFailures)
	job.Repetition.Next++
	m.state.addSteps(job, added.steps)
	m.emit(OccurrenceAdded{Job: job, Occurrence: added.number})
	m.startOccurrence(added)
}
