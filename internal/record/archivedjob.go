package record

import "github.com/decklever/decklever/api"

// ArchivedJob is the stored outcome of an ended job. Its encoding and that of the
// types it contains is stored data: keys and the order of fields must not change.
type ArchivedJob struct {
	ID          string         `cbor:"1,keyasint"`
	Digest      string         `cbor:"2,keyasint"`
	Queue       string         `cbor:"3,keyasint"`
	Priority    int            `cbor:"4,keyasint"`
	State       api.State      `cbor:"5,keyasint"`
	SubmittedAt Millis         `cbor:"6,keyasint"`
	EndedAt     Millis         `cbor:"7,keyasint"`
	Steps       []ArchivedStep `cbor:"8,keyasint"`
	Index       uint64         `cbor:"9,keyasint"` // log index of the entry that ended the job
	// Occurrences is nil unless the job repeated. A repeating job has no Steps.
	Occurrences *ArchivedOccurrences `cbor:"10,keyasint,omitempty"`
}

// ArchivedOccurrences counts the occurrences of a repeating job by outcome.
type ArchivedOccurrences struct {
	Succeeded int `cbor:"1,keyasint,omitempty"`
	Failed    int `cbor:"2,keyasint,omitempty"`
	Cancelled int `cbor:"3,keyasint,omitempty"`
	// Tasks is the number of tasks of one occurrence.
	Tasks int `cbor:"4,keyasint"`
}

// total returns the number of occurrences of all outcomes.
func (o *ArchivedOccurrences) total() int { return o.Succeeded + o.Failed + o.Cancelled }

// status converts the counts to the public API. It returns nil if the job did not
// repeat.
func (o *ArchivedOccurrences) status() *api.OccurrenceStatus {
	if o == nil {
		return nil
	}
	return &api.OccurrenceStatus{Times: o.total(), Succeeded: o.Succeeded, Failed: o.Failed, Cancelled: o.Cancelled}
}

// ArchivedStep is the outcome of one step.
type ArchivedStep struct {
	Name  string         `cbor:"1,keyasint"`
	Tasks []ArchivedTask `cbor:"2,keyasint"`
}

// ArchivedTask is the outcome of one task.
type ArchivedTask struct {
	State    api.State `cbor:"1,keyasint"`
	Run      uint32    `cbor:"2,keyasint,omitempty"`
	Failures int       `cbor:"3,keyasint,omitempty"`
	Worker   string    `cbor:"4,keyasint,omitempty"`
	Reason   string    `cbor:"5,keyasint,omitempty"`
}

// newArchivedJob returns the outcome of a job that the entry at the given index
// ended.
func newArchivedJob(job *Job, endedAt Millis, index uint64) ArchivedJob {
	archived := ArchivedJob{
		ID:          job.ID,
		Digest:      job.Digest,
		Queue:       job.Spec.Queue,
		Priority:    job.Spec.Priority,
		State:       job.State(),
		SubmittedAt: job.SubmittedAt,
		EndedAt:     endedAt,
		Steps:       make([]ArchivedStep, len(job.Steps)),
		Index:       index,
		Occurrences: newArchivedOccurrences(job),
	}
	for i, step := range job.Steps {
		archived.Steps[i] = newArchivedStep(step)
	}
	return archived
}

// newArchivedOccurrences returns the outcome counts of a repeating job, or nil if
// the job does not repeat.
func newArchivedOccurrences(job *Job) *ArchivedOccurrences {
	if job.Repetition == nil {
		return nil
	}
	return &ArchivedOccurrences{
		Succeeded: job.Repetition.Succeeded,
		Failed:    job.Repetition.Failed,
		Cancelled: job.Repetition.Cancelled,
		Tasks:     job.Spec.TaskCount(),
	}
}

func newArchivedStep(step *Step) ArchivedStep {
	archived := ArchivedStep{
		Name:  step.Spec.Name,
		Tasks: make([]ArchivedTask, len(step.Tasks)),
	}
	for i, task := range step.Tasks {
		archived.Tasks[i] = ArchivedTask{
			State:    task.State.Public(),
			Run:      task.LastRun,
			Failures: task.Failures,
			Worker:   task.LastWorker,
			Reason:   task.Reason,
		}
	}
	return archived
}

// Status converts the job to the public API.
func (a *ArchivedJob) Status() api.JobStatus {
	status := a.statusWithoutSteps()
	status.Steps = make([]api.StepStatus, len(a.Steps))
	for i := range a.Steps {
		status.Steps[i] = a.Steps[i].status(a.ID)
	}
	return status
}

// statusWithoutSteps converts the job to the public API and leaves Steps empty.
func (a *ArchivedJob) statusWithoutSteps() api.JobStatus {
	endedAt := a.EndedAt.Time()
	return api.JobStatus{
		ID:          a.ID,
		Queue:       a.Queue,
		Priority:    a.Priority,
		State:       a.State,
		SubmittedAt: a.SubmittedAt.Time(),
		EndedAt:     &endedAt,
		Occurrences: a.Occurrences.status(),
		Archived:    true,
	}
}

// Summary returns the job's entry in a list of jobs.
func (a *ArchivedJob) Summary() api.JobSummary {
	tasks := 0
	for i := range a.Steps {
		tasks += len(a.Steps[i].Tasks)
	}
	if a.Occurrences != nil {
		tasks = a.Occurrences.Tasks * a.Occurrences.total()
	}
	return api.JobSummary{
		ID:          a.ID,
		Queue:       a.Queue,
		State:       a.State,
		SubmittedAt: a.SubmittedAt.Time(),
		TasksTotal:  tasks,
		TasksEnded:  tasks,
	}
}

// status converts the step to the public API.
func (s *ArchivedStep) status(jobID string) api.StepStatus {
	status := api.StepStatus{
		Name:  s.Name,
		State: s.state(),
		Tasks: make([]api.TaskStatus, len(s.Tasks)),
	}
	for i, task := range s.Tasks {
		status.Tasks[i] = api.TaskStatus{
			Task:     TaskID{Job: jobID, Step: s.Name, Index: i}.String(),
			State:    task.State,
			Reason:   task.Reason,
			Run:      task.Run,
			Worker:   task.Worker,
			Failures: task.Failures,
		}
	}
	return status
}

// state returns failed if any task failed, else cancelled if any task was
// cancelled, else succeeded.
func (s *ArchivedStep) state() api.State {
	state := api.StateSucceeded
	for _, task := range s.Tasks {
		switch task.State {
		case api.StateFailed:
			return api.StateFailed
		case api.StateCancelled:
			state = api.StateCancelled
		}
	}
	return state
}
