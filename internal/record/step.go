package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// Step is one step of a live job, within one occurrence.
type Step struct {
	Job *Job
	// Occurrence is the number of the job's occurrence, from 0.
	Occurrence int
	// Index is the step's position in the spec.
	Index int
	Spec  *api.StepSpec
	// OpenDependencies counts the dependencies that have not succeeded yet.
	OpenDependencies int
	Tasks            []*Task
	// OpenTasks counts tasks whose state is not final. FailedTasks counts tasks in
	// TaskFailed.
	OpenTasks   int
	FailedTasks int
	// lastFailedRun is the newest run number for which a failure of a gang with a
	// common outcome was counted, 0 if there is none.
	lastFailedRun uint32
	// succeededTasks counts tasks in TaskSucceeded.
	succeededTasks int
	occurrence     *occurrence
	// dependencies are the steps that must succeed before this one starts.
	// dependents are the steps that wait for this one. Both belong to the same
	// occurrence.
	dependencies []*Step
	dependents   []*Step
}

// newStep returns a step of an occurrence with its tasks, all of them blocked. The
// tasks share one allocation. If the step has replicas, they also share the spec's
// task description.
func newStep(job *Job, owner *occurrence, index int) *Step {
	spec := &job.Spec.Steps[index]
	count := spec.TaskCount()
	step := &Step{Job: job, Occurrence: owner.number, Index: index, Spec: spec, OpenTasks: count, occurrence: owner}
	step.Tasks = make([]*Task, count)
	tasks := make([]Task, count)
	for i := range tasks {
		tasks[i] = Task{
			ID:   TaskID{Job: job.ID, Step: spec.Name, Index: i, Occurrence: owner.number},
			Step: step,
			Spec: spec.TaskAt(i),
		}
		step.Tasks[i] = &tasks[i]
	}
	return step
}

// linkDependencies links a step to the steps that its spec names in After. Unknown
// and repeated names are ignored: specs are validated before they are proposed, and
// applying a committed entry must never fail because of its content.
func linkDependencies(step *Step, byName map[string]*Step) {
	for _, name := range step.Spec.After {
		dependency := byName[name]
		if dependency == nil || slices.Contains(step.dependencies, dependency) {
			continue
		}
		step.dependencies = append(step.dependencies, dependency)
		dependency.dependents = append(dependency.dependents, step)
	}
	step.OpenDependencies = len(step.dependencies)
}

// succeeded reports whether every task of the step succeeded.
func (s *Step) succeeded() bool {
	return s.succeededTasks == len(s.Tasks)
}

// hasStarted reports whether any task was placed or has ended.
func (s *Step) hasStarted() bool {
	if s.OpenTasks < len(s.Tasks) {
		return true
	}
	for _, task := range s.Tasks {
		if task.LastRun > 0 {
			return true
		}
	}
	return false
}

// DueAt returns the time at which the step's occurrence falls due, or the
// submission time if that is later. For a job that does not repeat, it returns the
// submission time.
func (s *Step) DueAt() Millis {
	if s.Job.Spec.Repeat == nil {
		return s.Job.SubmittedAt
	}
	return max(s.Job.SubmittedAt, s.occurrenceDueAt())
}

// earliestTaskStart returns the earliest start of the step's tasks, 0 if they may
// start at once.
func (s *Step) earliestTaskStart() Millis {
	if s.Job.Spec.Repeat != nil {
		return s.occurrenceDueAt()
	}
	if s.Spec.NotBefore != nil {
		return Millis(s.Spec.NotBefore.UnixMilli())
	}
	return 0
}

// occurrenceDueAt returns the time at which the step's occurrence falls due. The
// job must repeat.
func (s *Step) occurrenceDueAt() Millis {
	return Millis(s.Job.Spec.Repeat.DueMillis(s.Occurrence))
}
