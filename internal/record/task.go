package record

import "github.com/decklever/decklever/api"

// TaskState is finer than api.State: it tells whether a task can be placed.
type TaskState uint8

// Task states. The last three are final.
const (
	// TaskBlocked waits for steps before it.
	TaskBlocked TaskState = iota
	// TaskReady can be placed once its NotBefore has come.
	TaskReady
	// TaskPlaced has an open run.
	TaskPlaced
	TaskSucceeded
	TaskFailed
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
	// Failures counts failed runs, or those of the whole group in lockstep.
	// AllowedFailures is at least 1: the task is failed for good once Failures
	// reaches it, unless it runs until cancelled; a group in lockstep once all
	// its runs are closed then. Those of a task that runs until cancelled are
	// counted anew once a run was open for long.
	Failures        int
	AllowedFailures int
	// LastRun is the number of the newest run, 0 if none was placed.
	LastRun uint32
	// Run is the open run; nil unless State is TaskPlaced, or TaskSucceeded by
	// the success of another member of a group in lockstep.
	Run *Run
	// LastWorker names the worker of the newest run.
	LastWorker string
	// Preemptions counts runs that were stopped to make room for others and
	// did not succeed.
	Preemptions int
	// checkCheckpoint is the newest that an earlier run left; see NewestCheckpoint.
	checkpoint checkpoint
	// NotBefore is the earliest next start: the step's or the retry's.
	NotBefore Millis
	// Reason says how a final task ended or why the last run did.
	Reason string
}

func allowedFailures(spec *api.TaskSpec, byDefault int) int {
	allowed := byDefault
	if spec.AllowedFailures != nil {
		allowed = *spec.AllowedFailures
	}
	return max(allowed, 1)
}

// NextRun is the number that the next run of the task must have. It is the same
// for all members of a group in lockstep.
func (t *Task) NextRun() uint32 {
	if !t.Step.Spec.Lockstep {
		return t.LastRun + 1
	}
	newest := uint32(0)
	for _, member := range t.Step.Tasks {
		newest = max(newest, member.LastRun)
	}
	return newest + 1
}

// RunsUntilCancelled reports whether the task has neither success nor limit of failures: it
// runs until cancelled, or a member of its group in lockstep does.
func (t *Task) RunsUntilCancelled() bool {
	return t.Spec.UntilCancelled || t.Step.Spec.Lockstep && t.Step.runsUntilCancelled()
}
