package record

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
)

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

// nilIfEmpty makes a list that ran empty equal to one that never had anything.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
