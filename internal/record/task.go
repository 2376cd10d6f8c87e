package record

import "github.com/decklever/decklever/api"

// TaskState is finer than api.State: it distinguishes tasks that can be placed from
// tasks that cannot. The numbers are stored in snapshots.
type TaskState uint8

// Task states. The last three are final.
const (
	// TaskBlocked: the task waits for the step's dependencies.
	TaskBlocked TaskState = iota
	// TaskReady: the task can be placed once its NotBefore has been reached.
	TaskReady
	// TaskPlaced: the task has an open run.
	TaskPlaced
	// TaskSucceeded: a run of the task succeeded or, in a gang with a common
	// outcome, a run of any member.
	TaskSucceeded
	// TaskFailed: the task reached its allowed failures.
	TaskFailed
	// TaskCancelled: the task's job was cancelled, or a step that the task waited
	// for failed.
	TaskCancelled
)

// Final reports whether the state can no longer change.
func (s TaskState) Final() bool { return s >= TaskSucceeded }

// Task is one task of a live job.
type Task struct {
	ID    TaskID
	Step  *Step
	Spec  *api.TaskSpec
	State TaskState
	// Failures counts failed runs, or the gang's failures if it has a common
	// outcome. For a task that runs until cancelled, a failure of a run that was
	// open for at least failureResetAfter restarts the count at 1.
	Failures int
	// AllowedFailures is at least 1. A task whose Failures reach it becomes
	// TaskFailed, unless the task runs until cancelled. A gang with a common
	// outcome fails only once all of its runs are closed.
	AllowedFailures int
	// LastRun is the number of the newest run, 0 if the task was never placed.
	LastRun uint32
	// Run is the open run. It is nil unless State is TaskPlaced, or State is
	// TaskSucceeded because of another member of the gang and this task's run is
	// still open.
	Run *Run
	// LastWorker is the name of the worker of the newest run.
	LastWorker string
	// Preemptions counts runs that were stopped with StopPreempted and did not
	// succeed.
	Preemptions int
	// checkpoint is the newest checkpoint of an earlier run; see NewestCheckpoint.
	checkpoint checkpoint
	// NotBefore is the earliest next start: the step's earliest start, or the end
	// of the backoff after a failure.
	NotBefore Millis
	// Reason says how a final task ended, or why the last run of any other task
	// ended. It is stored in snapshots and in the archive.
	Reason string
}

// allowedFailures returns the allowed failures from the task's spec, or else from
// its queue. It is at least 1.
func allowedFailures(spec *api.TaskSpec, queueDefault int) int {
	allowed := queueDefault
	if spec.AllowedFailures != nil {
		allowed = *spec.AllowedFailures
	}
	return max(allowed, 1)
}

// NextRun returns the number that the next run of the task must have. It is the
// same for all members of a gang with a common outcome.
func (t *Task) NextRun() uint32 {
	if !t.Step.SharesOutcome() {
		return t.LastRun + 1
	}
	newest := uint32(0)
	for _, member := range t.Step.Tasks {
		newest = max(newest, member.LastRun)
	}
	return newest + 1
}

// RunsUntilCancelled reports whether the task runs until its job is cancelled,
// because of its own spec or that of another member of its gang with a common
// outcome. Such a task cannot succeed, and it has no limit of failures.
func (t *Task) RunsUntilCancelled() bool {
	return t.Spec.UntilCancelled || t.Step.SharesOutcome() && t.Step.runsUntilCancelled()
}

// countFinal updates the counts of the task's step, occurrence and job once its
// state is final.
func (t *Task) countFinal() {
	step := t.Step
	step.OpenTasks--
	step.Job.OpenTasks--
	step.occurrence.openTasks--
	switch t.State {
	case TaskSucceeded:
		step.succeededTasks++
	case TaskFailed:
		step.FailedTasks++
		step.Job.failedTasks++
	}
}
