package record

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
)

// addOccurrence adds an occurrence with its steps and tasks; all tasks are blocked.
// number must be higher than that of every earlier occurrence.
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

// occurrence is one execution of a job's steps. A job that does not repeat has
// exactly one, with number 0.
type occurrence struct {
	number int
	steps  []*Step
	// openTasks counts tasks that are not final. openRuns counts open runs,
	// including those of members of a gang that has succeeded.
	openTasks int
	openRuns  int
}

// ended reports whether the occurrence is final: no open task and no open run.
func (o *occurrence) ended() bool { return o.openTasks == 0 && o.openRuns == 0 }

// flagIfOccurrenceEnded sets mayHaveEndedOccurrence if the step's occurrence has
// ended, so that the next removeEndedOccurrences looks for it.
func (s *Step) flagIfOccurrenceEnded() {
	if s.occurrence.ended() {
		s.Job.mayHaveEndedOccurrence = true
	}
}

// findOccurrence returns the live occurrence with the given number, or nil.
func (j *Job) findOccurrence(number int) *occurrence {
	position, found := slices.BinarySearchFunc(j.occurrences, number, func(other *occurrence, number int) int {
		return cmp.Compare(other.number, number)
	})
	if !found {
		return nil
	}
	return j.occurrences[position]
}

// liveOccurrences returns the numbers of the live occurrences, ascending.
func (j *Job) liveOccurrences() []int {
	numbers := make([]int, len(j.occurrences))
	for i, live := range j.occurrences {
		numbers[i] = live.number
	}
	return numbers
}

// initializeTasks sets the failure limit and the earliest start of each task of a
// new occurrence.
func (o *occurrence) initializeTasks(defaultAllowedFailures int) {
	for _, step := range o.steps {
		earliest := step.earliestTaskStart()
		for _, task := range step.Tasks {
			task.AllowedFailures = allowedFailures(task.Spec, defaultAllowedFailures)
			task.NotBefore = earliest
		}
	}
}

// startOccurrence starts the steps of a new occurrence that have no dependencies.
func (m *Machine) startOccurrence(added *occurrence) {
	for _, step := range added.steps {
		if len(step.dependencies) == 0 {
			m.startStep(step)
		}
	}
}

// removeEndedOccurrences removes the ended occurrences of a repeating job from the
// state and counts their outcomes, so that the memory used by a job does not grow
// with the number of its occurrences.
func (m *Machine) removeEndedOccurrences(job *Job) {
	if job.Repetition == nil || !job.mayHaveEndedOccurrence {
		return
	}
	job.mayHaveEndedOccurrence = false
	for _, candidate := range job.occurrences {
		if candidate.ended() {
			job.countOutcome(candidate)
			m.state.jobs.removeSteps(candidate.steps)
			m.emit(OccurrenceEnded{Job: job, Occurrence: candidate.number, Steps: candidate.steps})
		}
	}
	job.Steps = nilIfEmpty(slices.DeleteFunc(job.Steps, func(step *Step) bool { return step.occurrence.ended() }))
	job.occurrences = nilIfEmpty(slices.DeleteFunc(job.occurrences, (*occurrence).ended))
}

// countOutcome counts an ended occurrence by its outcome: failed if any step
// failed, otherwise cancelled if any step was cancelled, otherwise succeeded.
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

// nilIfEmpty returns nil for an empty slice, so that a live state and one restored
// from a snapshot are deeply equal.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
