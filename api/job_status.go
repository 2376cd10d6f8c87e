package api

import "time"

// State is the state of a job, a step or a task.
type State string

// States of jobs, steps and tasks. Succeeded, Failed and Cancelled are final.
const (
	StatePending   State = "pending"
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled
}

// JobStatus is the answer of GET /v1/jobs/{id}.
type JobStatus struct {
	ID       string `json:"id"`
	Queue    string `json:"queue"`
	Priority int    `json:"priority"`
	State    State  `json:"state"`
	// SubmittedAt and EndedAt are cluster time. EndedAt is absent until no run of
	// the job can be open. A job that was cancelled, or whose lockstep group has
	// succeeded, has its final state immediately but gets EndedAt only when its
	// last run has stopped.
	SubmittedAt time.Time  `json:"submitted_at"`
	EndedAt     *time.Time `json:"ended_at,omitempty"`
	// Occurrences counts the occurrences of a repeating job; absent for others.
	Occurrences *OccurrenceStatus `json:"occurrences,omitempty"`
	// Steps of a repeating job are those of its open occurrences, in order.
	Steps []StepStatus `json:"steps,omitempty"`
	// Archived is true once the job has ended and only its outcome is stored.
	Archived bool `json:"archived,omitempty"`
}

// OccurrenceStatus counts the occurrences of a repeating job.
type OccurrenceStatus struct {
	// Times is the total number of occurrences.
	Times int `json:"times"`
	// Open counts occurrences whose tasks have been created and that have not
	// ended. Tasks are created shortly before the occurrence is due.
	Open int `json:"open"`
	// Succeeded, Failed and Cancelled count occurrences that have ended.
	// Cancelled includes those that were not yet due at the cancellation.
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// NextDue is the due time of the next occurrence that is neither open nor
	// ended; absent if there is none.
	NextDue *time.Time `json:"next_due,omitempty"`
}

// StepStatus is the state of one step.
type StepStatus struct {
	Name string `json:"name"`
	// Occurrence is the index of a repeating job's occurrence, from 0.
	Occurrence int          `json:"occurrence,omitempty"`
	State      State        `json:"state"`
	Tasks      []TaskStatus `json:"tasks"`
}

// TaskStatus is the state of one task.
type TaskStatus struct {
	// Task is the task's full name, "JOB/STEP/INDEX", followed by "/OCCURRENCE"
	// if that is not 0.
	Task  string `json:"task"`
	State State  `json:"state"`
	// Reason explains why a pending task waits or how a final task ended.
	Reason string `json:"reason,omitempty"`
	// Run is the number of the newest run; 0 if there has been none.
	Run uint32 `json:"run"`
	// Worker is the name of the worker of the newest run.
	Worker string `json:"worker,omitempty"`
	// Failures counts failed runs. For a task with UntilCancelled, the failure of
	// a run that was open for at least 10 s resets the count to 1.
	Failures int `json:"failures"`
}

// JobSummary is an element of JobList.
type JobSummary struct {
	ID          string    `json:"id"`
	Queue       string    `json:"queue"`
	State       State     `json:"state"`
	SubmittedAt time.Time `json:"submitted_at"`
	TasksTotal  int       `json:"tasks_total"`
	TasksEnded  int       `json:"tasks_ended"`
}

// JobList is the answer of GET /v1/jobs: one page of the list of jobs.
type JobList struct {
	Jobs []JobSummary `json:"jobs"`
	// NextPageToken is empty on the last page.
	NextPageToken string `json:"next_page_token,omitempty"`
}
