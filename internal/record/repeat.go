package record

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
)

// Repetition is where a repeating job stands. Occurrences that have ended are
// only counted here; those that have not been added are nowhere.
type Repetition struct {
	// Next is the number of the occurrence that is added next; the number of
	// all once there is none.
	Next int `cbor:"1,keyasint"`
	// Succeeded, Failed and Cancelled count ended occurrences, and those that a
	// cancel kept from being added.
	Succeeded int `cbor:"2,keyasint,omitempty"`
	Failed    int `cbor:"3,keyasint,omitempty"`
	Cancelled int `cbor:"4,keyasint,omitempty"`
	// AllowedFailures is that of tasks that name none: the queue's when the job
	// was accepted.
	AllowedFailures int `cbor:"5,keyasint"`
}

// occurrence is one round of a job's steps. A job that does not repeat has one.
type occurrence struct {
	number int
	steps  []*Step
	// openTasks counts tasks that are not final; openRuns counts open runs, also
	// of members of a group that has succeeded.
	openTasks int
	openRuns  int
}

// ended reports that nothing of the occurrence can change any more.
func (o *occurrence) ended() bool { return o.openTasks == 0 && o.openRuns == 0 }

// flagIfOccurrenceEnded lets archiveJobIfComplete look for occurrences that have ended.
func (s *Step) flagIfOccurrenceEnded() {
	if s.occurrence.ended() {
		s.Job.mayHaveEndedOccurrence = true
	}
}

// Occurrences is how often the job runs in all.
func (j *Job) Occurrences() int {
	if j.Spec.Repeat == nil {
		return 1
	}
	return min(j.Spec.Repeat.Times, api.MaxOccurrences)
}

// DueAt is when the step's occurrence fell due, but not before the job was
// handed in; of a job that does not repeat, when it was handed in.
func (s *Step) DueAt() Millis {
	if s.Job.Spec.Repeat == nil {
		return s.Job.SubmittedAt
	}
	return max(s.Job.SubmittedAt, Millis(s.Job.Spec.Repeat.DueMillis(s.Occurrence)))
}

// earliestTaskStart is the first start of the step's tasks; 0 for at once.
func (s *Step) earliestTaskStart() Millis {
	if s.Job.Spec.Repeat == nil {
		return notBefore(s.Spec)
	}
	return Millis(s.Job.Spec.Repeat.DueMillis(s.Occurrence))
}

// addOccurrence makes the steps and tasks of an occurrence, whose number is
// higher than all before; every task is blocked.
func (j *Job) addOccurrence(number int) *occurrence {
	added := &occurrence{number: number, steps: make([]*Step, len(j.Spec.Steps))}
	byName := make(map[string]*Step, len(added.steps))
	for i := range j.Spec.Steps {
		step := newStep(j, added, i)
		added.steps[i] = step
		added.openTasks += step.OpenTasks
		byName[step.Spec.Name] = step
	}
	for _, step := range added.steps {
		linkDependencies(step, byName)
	}
	j.OpenTasks += added.openTasks
	j.mayHaveEndedOccurrence = j.mayHaveEndedOccurrence || added.ended()
	j.occurrences = append(j.occurrences, added)
	j.Steps = append(j.Steps, added.steps...)
	return added
}

// findOccurrence returns a live occurrence, or nil.
func (j *Job) findOccurrence(number int) *occurrence {
	position, found := slices.BinarySearchFunc(j.occurrences, number, func(one *occurrence, number int) int {
		return cmp.Compare(one.number, number)
	})
	if !found {
		return nil
	}
	return j.occurrences[position]
}

// liveOccurrences returns the numbers of the live occurrences.
func (j *Job) liveOccurrences() []int {
	numbers := make([]int, len(j.occurrences))
	for i, one := range j.occurrences {
		numbers[i] = one.number
	}
	return numbers
}

// initializeTasks fills in what the tasks of a new occurrence take from the queue and
// from their start time.
func (o *occurrence) initializeTasks(defaultAllowedFailures int) {
	for _, step := range o.steps {
		earliest := step.earliestTaskStart()
		for _, task := range step.Tasks {
			task.AllowedFailures = allowedFailures(task.Spec, defaultAllowedFailures)
			task.NotBefore = earliest
		}
	}
}

// startOccurrence makes the first steps of a new occurrence ready.
func (m *Machine) startOccurrence(added *occurrence) {
	for _, step := range added.steps {
		if len(step.dependencies) == 0 {
			m.startStep(step)
		}
	}
}

// applyExpandRepeats adds the occurrences that fall due. One for which the job has too
// many open tasks is left for a later command.
func (m *Machine) applyExpandRepeats(expand *ExpandRepeats) {
	for _, expansion := range expand.Jobs {
		job := m.state.jobs[expansion.Job]
		if job == nil || job.Repetition == nil {
			continue
		}
		for job.canAddOccurrence(expansion.Through) {
			m.addNextOccurrence(job)
		}
		m.archiveJobIfComplete(job)
	}
}

// canAddOccurrence reports whether the next occurrence is one up to through, and may be
// open beside those that are.
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
	m.state.indexSteps(job, added.steps)
	m.emit(OccurrenceAdded{Job: job, Occurrence: added.number})
	m.startOccurrence(added)
}

// removeEndedOccurrences takes ended occurrences of a repeating job out of memory and
// counts them.
func (m *Machine) removeEndedOccurrences(job *Job) {
	if job.Repetition == nil || !job.mayHaveEndedOccurrence {
		return
	}
	job.mayHaveEndedOccurrence = false
	for _, one := range job.occurrences {
		if one.ended() {
			job.countOutcome(one)
			m.state.removeSteps(one.steps)
			m.emit(OccurrenceEnded{Job: job, Occurrence: one.number, Steps: one.steps})
		}
	}
	job.Steps = nilIfEmpty(slices.DeleteFunc(job.Steps, func(step *Step) bool { return step.occurrence.ended() }))
	job.occurrences = nilIfEmpty(slices.DeleteFunc(job.occurrences, func(one *occurrence) bool { return one.ended() }))
}

// countOutcome counts an ended occurrence by its outcome.
func (j *Job) countOutcome(ended *occurrence) {
	outcome := api.StateSucceeded
	for _, step := range ended.steps {
		j.failedTasks -= step.FailedTasks
		switch state := step.State(); {
		case state == api.StateFailed:
			outcome = state
		case state == api.StateCancelled && outcome == api.StateSucceeded:
			outcome = state
		}
	}
	switch outcome {
	case api.StateFailed:
		j.Repetition.Failed++
	case api.StateCancelled:
		j.Repetition.Cancelled++
	default:
		j.Repetition.Succeeded++
	}
}

// cancelFutureOccurrences counts the occurrences that will not be added any more.
func (j *Job) cancelFutureOccurrences() {
	if j.Repetition == nil {
		return
	}
	j.Repetition.Cancelled += j.Occurrences() - j.Repetition.Next
	j.Repetition.Next = j.Occurrences()
}

// nilIfEmpty makes a list that ran empty equal to one that never had anything.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
