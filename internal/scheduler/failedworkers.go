package scheduler

import (
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// maxAvoidedWorkers is the number of workers kept for one task; the newest ones are kept.
const maxAvoidedWorkers = 4

// failedWorkers holds the names of the workers on which runs of a task failed, oldest
// first, until the task's step has ended. It exists only in the leader's memory: a new
// leader knows only the worker of the newest run.
type failedWorkers map[record.TaskID][]string

// add adds the name of a worker on which a run of the task failed.
func (f failedWorkers) add(task record.TaskID, worker string) {
	if slices.Contains(f[task], worker) {
		return
	}
	names := append(slices.Clone(f[task]), worker)
	f[task] = names[max(len(names)-maxAvoidedWorkers, 0):]
}

// workersToAvoid returns the names of the workers that a retry of the task should avoid. The
// returned slice is never modified. For a task that failed under an earlier leader it
// begins with the worker of the newest run.
func (f failedWorkers) workersToAvoid(task *record.Task) []string {
	if task.Failures > 0 && len(f[task.ID]) == 0 && task.LastWorker != "" {
		f.add(task.ID, task.LastWorker)
	}
	return f[task.ID]
}

// forgetSteps removes the tasks of steps that have ended.
func (f failedWorkers) forgetSteps(steps []*record.Step) {
	for _, step := range steps {
		for _, task := range step.Tasks {
			delete(f, task.ID)
		}
	}
}
