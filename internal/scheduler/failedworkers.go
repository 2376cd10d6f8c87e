package scheduler

import (
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// maxAvoidedWorkers is how many workers are kept for one task, the newest ones.
const maxAvoidedWorkers = 4

// failedWorkers remembers the names of the workers on which runs of a task failed,
// for as long as the task is not final. It lives in the leader's memory: a new
// leader knows of the newest run only.
type failedWorkers map[record.TaskID][]string

// add adds a worker on which a run of the task failed.
func (f failedWorkers) add(task record.TaskID, worker string) {
	if slices.Contains(f[task], worker) {
		return
	}
	names := append(slices.Clone(f[task]), worker)
	f[task] = names[max(len(names)-maxAvoidedWorkers, 0):]
}

// subject returns the workers that a retry of the task should avoid. What it returns
// is never changed.
func (f failedWorkers) of(task *record.Task) []string {
	if task.Failures > 0 && len(f[task.ID]) == 0 && task.LastWorker != "" {
		f.add(task.ID, task.LastWorker)
	}
	return f[task.ID]
}

// forgetSteps drops what is known of the tasks of steps that have ended.
func (f failedWorkers) forgetSteps(steps []*record.Step) {
	for _, step := range steps {
		for _, task := range step.Tasks {
			delete(f, task.ID)
		}
	}
}
