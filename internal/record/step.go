package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// Step is one step of a live job, in one of its occurrences.
type Step struct {
	Job *Job
	// Occurrence is that of a repeating job, from 0; Index is the step's place
	// in the spec.
	Occurrence int
	Index      int
	Spec       *api.StepSpec
	// OpenDependencies counts the steps before it that have not succeeded.
	OpenDependencies int
	Tasks            []*Task
	// OpenTasks counts tasks that are not final; FailedTasks counts failed.
	OpenTasks   int
	FailedTasks int
	// lastFailedRun is the newest run number of a group in lockstep under which a
	// failure was counted; 0 if none was.
	lastFailedRun uint32
	// succeededTasks counts tasks that succeeded.
	succeededTasks int
	occurrence     *occurrence
	// dependencies and dependents are the neighbours in the order of steps.
	dependencies []*Step
	dependents   []*Step
}

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

func linkDependencies(step *Step, byName map[string]*Step) {
	for _, name := range step.Spec.After {
		before := byName[name]
		if before == nil || slices.Contains(step.dependencies, before) {
			continue
		}
		step.dependencies = append(step.dependencies, before)
		before.dependents = append(before.dependents, step)
	}
	step.OpenDependencies = len(step.dependencies)
}

// done reports that every task of the step succeeded.
func (s *Step) succeeded() bool {
	return s.succeededTasks == len(s.Tasks)
}

// hasStarted reports that a task was placed or has ended.
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

func notBefore(spec *api.StepSpec) Millis {
	if spec.NotBefore == nil {
		return 0
	}
	return Millis(spec.NotBefore.UnixMilli())
}
