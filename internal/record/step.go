package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// Step is one step of a live job, in one of its occurrences.
type Step struct {
	Job *Job
	// Occurrence is that of a repeating job, from 0.
	Occurrence int
	// Index is the step's position in the spec.
	Index int
	Spec  *api.StepSpec
	// OpenDependencies counts the dependencies that have not succeeded.
	OpenDependencies int
	Tasks            []*Task
	// OpenTasks counts tasks that are not final; FailedTasks counts those in
	// TaskFailed.
	OpenTasks   int
	FailedTasks int
	// lastFailedRun is the newest run number of a gang with a common outcome
	// under which a failure was counted; 0 if none was.
	lastFailedRun uint32
	// succeededTasks counts tasks in TaskSucceeded.
	succeededTasks int
	occurrence     *occurrence
	// dependencies are the steps that must succeed before this one starts,
	// dependents the steps that wait for this one; within one occurrence.
	dependencies []*Step
	dependents   []*Step
}

// newStep makes a step of an occurrence with its tasks, all of them blocked. The
// tasks lie in one allocation, and share the spec's description where the step
// has replicas.
func newStep(job *Job, of *occurrence, index int) *Step {
	spec := &job.Spec.Steps[index]
	count := spec.TaskCount()
	step := &Step{Job: job, Occurrence: of.number, Index: index, Spec: spec, OpenTasks: count, occurrence: of}
	step.Tasks = make([]*Task, count)
	tasks := make([]Task, count)
	for i := range tasks {
		tasks[i] = Task{
			ID:   TaskID{Job: job.ID, Step: spec.Name, Index: i, Occurrence: of.number},
			Step: step,
			Spec: spec.TaskAt(i),
		}
		step.Tasks[i] = &tasks[i]
	}
	return step
}

// linkDependencies links a step with those that its spec names in After. A name
// without a step, or a repeated one, is ignored: specs are validated
// before they are proposed, and an entry of the log must never fail for its
// content.
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

// hasStarted reports whether a task was placed or has ended.
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

// DueAt is when the step's occurrence fell due, but not before the job was
// submitted; of a job that does not repeat, when it was submitted.
func (s *Step) DueAt() Millis {
	if s.Job.Spec.Repeat == nil {
		return s.Job.SubmittedAt
	}
	return max(s.Job.SubmittedAt, s.occurrenceDueAt())
}

// earliestTaskStart is the earliest start of the step's tasks, 0 if they may
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

// occurrenceDueAt is when the step's occurrence of a repeating job falls due.
func (s *Step) occurrenceDueAt() Millis {
	return Millis(s.Job.Spec.Repeat.DueMillis(s.Occurrence))
}
