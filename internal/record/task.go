package record

import "github.com/decklever/decklever/api"

// TaskState is finer than api.State: it tells whether a task can be placed. The
// numbers are stored in snapshots.
type TaskState uint8

// Task states. The last three are final.
const (
	// TaskBlocked waits for the step's dependencies.
	TaskBlocked TaskState = iota
	// TaskReady can be placed once its NotBefore has come.
	TaskReady
	// TaskPlaced has an open run.
	TaskPlaced
	// TaskSucceeded had a run that succeeded, or is a member of a gang with a
	// common outcome one of whose runs did.
	TaskSucceeded
	// TaskFailed used up its failures.
	TaskFailed
	// TaskCancelled: its job was cancelled, or a step that it waited for failed.
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
	// Failures counts failed runs, or those of the gang if that has a common
	// outcome. Those of a task that runs until cancelled start again at 0
	// after a run of failureResetAfter.
	Failures int
	// AllowedFailures is at least 1. A task whose Failures reach it is in
	// TaskFailed, unless it runs until cancelled; a gang with a common outcome
	// fails then once all of its runs are closed.
	AllowedFailures int
	// LastRun is the number of the newest run, 0 if none was placed.
	LastRun uint32
	// Run is the open run. It is nil unless State is TaskPlaced, or
	// TaskSucceeded by another member of the gang while this run is still open.
	Run *Run
	// LastWorker is the name of the worker of the newest run.
	LastWorker string
	// Preemptions counts runs that were stopped with StopPreempted and did not
	// succeed.
	Preemptions int
	// checkpoint is the newest that an earlier run left; see NewestCheckpoint.
	checkpoint checkpoint
	// NotBefore is the earliest next start: that of the step, or the end of the
	// backoff after a failure.
	NotBefore Millis
	// Reason says how a final task ended, or else why the last run ended. It is
	// stored in snapshots and in the archive.
	Reason string
}

// allowedFailures is the bound of a task, from its spec or else from its queue.
func allowedFailures(spec *api.TaskSpec, queueDefault int) int {
	allowed := queueDefault
	if spec.AllowedFailures != nil {
		allowed = *spec.AllowedFailures
	}
	return max(allowed, 1)
}

// NextRun is the number that the next run of the task must have. It is the same
// for all members of a gang with a common outcome.
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

// RunsUntilCancelled reports whether only a cancel ends the task: its spec says
// so, or that of a member of its gang with a common outcome does. Such a task
// has neither a success nor a limit of failures.
func (t *Task) RunsUntilCancelled() bool {
	return t.Spec.UntilCancelled || t.Step.SharesOutcome() && t.Step.runsUntilCancelled()
}

// countFinal counts a task whose state is final in its step, its occurrence and
// its job.
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
