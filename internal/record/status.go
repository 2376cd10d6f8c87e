package record

import (
	"fmt"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// Public converts the state to a state of the public API, in which blocked and ready
// tasks are both pending.
func (s TaskState) Public() api.State {
	switch s {
	case TaskPlaced:
		return api.StateRunning
	case TaskSucceeded:
		return api.StateSucceeded
	case TaskFailed:
		return api.StateFailed
	case TaskCancelled:
		return api.StateCancelled
	}
	return api.StatePending
}

// State returns the job's state in the public API. A job is cancelled as soon as a
// cancel was accepted, and pending until its first run is placed.
func (j *Job) State() api.State {
	switch {
	case j.Cancelled:
		return api.StateCancelled
	case j.complete() && j.hasFailedTasks():
		return api.StateFailed
	case j.complete():
		return api.StateSucceeded
	case j.started:
		return api.StateRunning
	}
	return api.StatePending
}

// State returns the step's state in the public API. A step is pending until one of
// its tasks was placed or has ended.
func (s *Step) State() api.State {
	switch {
	case s.OpenTasks > 0 && s.hasStarted():
		return api.StateRunning
	case s.OpenTasks > 0:
		return api.StatePending
	case s.FailedTasks > 0:
		return api.StateFailed
	case s.succeeded():
		return api.StateSucceeded
	}
	return api.StateCancelled
}

// Summary returns the job's entry for a list of jobs.
func (j *Job) Summary() api.JobSummary {
	perOccurrence := j.Spec.TaskCount()
	total := perOccurrence * j.Occurrences()
	ended := total - j.OpenTasks
	if j.Repetition != nil {
		ended -= perOccurrence * (j.Occurrences() - j.Repetition.Next)
	}
	return api.JobSummary{
		ID:          j.ID,
		Queue:       j.Spec.Queue,
		State:       j.State(),
		SubmittedAt: j.SubmittedAt.Time(),
		TasksTotal:  total,
		TasksEnded:  ended,
	}
}

// statusWithoutSteps returns the job's status with Steps left empty.
func (j *Job) statusWithoutSteps() api.JobStatus {
	return api.JobStatus{
		ID:          j.ID,
		Queue:       j.Spec.Queue,
		Priority:    j.Spec.Priority,
		State:       j.State(),
		SubmittedAt: j.SubmittedAt.Time(),
		Occurrences: j.occurrenceStatus(),
	}
}

// status converts the job to the public API at the given time of the cluster clock.
// reason is that of View.Status and may be nil.
func (j *Job) status(clock Millis, reason func(*Task) string) api.JobStatus {
	status := j.statusWithoutSteps()
	status.Steps = make([]api.StepStatus, len(j.Steps))
	for i, step := range j.Steps {
		status.Steps[i] = step.status(clock, reason)
	}
	return status
}

// occurrenceStatus returns the occurrence counts of a repeating job, or nil for others.
func (j *Job) occurrenceStatus() *api.OccurrenceStatus {
	if j.Repetition == nil {
		return nil
	}
	status := &api.OccurrenceStatus{
		Times:     j.Occurrences(),
		Open:      len(j.occurrences),
		Succeeded: j.Repetition.Succeeded,
		Failed:    j.Repetition.Failed,
		Cancelled: j.Repetition.Cancelled,
	}
	if j.Repetition.Next < j.Occurrences() {
		due := Millis(j.Spec.Repeat.DueMillis(j.Repetition.Next)).Time()
		status.NextDue = &due
	}
	return status
}

// status converts the step to the public API.
func (s *Step) status(clock Millis, reason func(*Task) string) api.StepStatus {
	status := api.StepStatus{
		Name:       s.Spec.Name,
		Occurrence: s.Occurrence,
		State:      s.State(),
		Tasks:      make([]api.TaskStatus, len(s.Tasks)),
	}
	blockedReason := s.waitReason()
	for i, task := range s.Tasks {
		status.Tasks[i] = api.TaskStatus{
			Task:     task.ID.String(),
			State:    task.State.Public(),
			Reason:   task.reason(blockedReason, clock, reason),
			Run:      task.LastRun,
			Worker:   task.LastWorker,
			Failures: task.Failures,
		}
	}
	return status
}

// waitReason names the dependencies that have not succeeded, or returns "".
func (s *Step) waitReason() string {
	var names []string
	for _, dependency := range s.dependencies {
		if !dependency.succeeded() {
			names = append(names, fmt.Sprintf("%q", dependency.Spec.Name))
		}
	}
	if len(names) == 0 {
		return ""
	}
	return "waits for step " + strings.Join(names, ", ")
}

// reason returns why the task waits or is being stopped, or how it ended.
func (t *Task) reason(blockedReason string, clock Millis, readyReason func(*Task) string) string {
	switch t.State {
	case TaskBlocked:
		return blockedReason
	case TaskReady:
		return t.readyReason(clock, readyReason)
	case TaskPlaced:
		if t.Run.Stop != StopNone {
			return fmt.Sprintf("stopping: %s", t.Run.Stop)
		}
		return ""
	}
	return t.Reason
}

// readyReason returns why a ready task has not been placed. It prefers the leader's
// reason. Otherwise it returns why the last run ended and when the task may start.
func (t *Task) readyReason(clock Millis, leaderReason func(*Task) string) string {
	if leaderReason != nil {
		if text := leaderReason(t); text != "" {
			return text
		}
	}
	if t.NotBefore <= clock {
		return t.Reason
	}
	notBefore := "not before " + t.NotBefore.Time().Format(time.RFC3339Nano)
	if t.Reason == "" {
		return notBefore
	}
	return t.Reason + "; " + notBefore
}
