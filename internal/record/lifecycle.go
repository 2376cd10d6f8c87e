package record

import "fmt"

// startStep makes the blocked tasks of a step ready; one without tasks is
// done at once.
func (m *Machine) startStep(step *Step) {
	for _, task := range step.Tasks {
		if task.State == TaskBlocked {
			m.makeReady(task)
		}
	}
	if len(step.Tasks) == 0 {
		m.unblockDependents(step)
	}
}

func (m *Machine) makeReady(task *Task) {
	m.state.setState(task, TaskReady)
	m.emit(TaskBecameReady{Task: task})
}

// finishWithoutRun makes a task without an open run final.
func (m *Machine) finishWithoutRun(task *Task, final TaskState, reason string) {
	wasReady := task.State == TaskReady
	task.Reason = reason
	m.state.setState(task, final)
	if wasReady {
		m.emit(TaskLeftReady{Task: task})
	}
	m.taskFinished(task)
}

// taskFinished follows a task that has just become final: the next steps start,
// or those that can never start are cancelled. The caller ends the job.
func (m *Machine) taskFinished(task *Task) {
	step := task.Step
	step.OpenTasks--
	step.Job.OpenTasks--
	step.occurrence.openTasks--
	step.flagIfOccurrenceEnded()
	switch task.State {
	case TaskSucceeded:
		step.succeededTasks++
		if step.succeeded() {
			m.unblockDependents(step)
		}
	case TaskFailed:
		step.FailedTasks++
		step.Job.failedTasks++
		if step.FailedTasks == 1 {
			m.cancelDependents(step)
		}
	}
}

func (m *Machine) unblockDependents(step *Step) {
	for _, dependent := range step.dependents {
		dependent.OpenDependencies--
		if dependent.OpenDependencies == 0 {
			m.startStep(dependent)
		}
	}
}

// cancelDependents cancels the tasks of all steps that wait, directly or
// through others, on a step that failed. None of them has started.
func (m *Machine) cancelDependents(failed *Step) {
	reason := fmt.Sprintf("step %q failed", failed.Spec.Name)
	seen := map[*Step]bool{failed: true}
	pending := []*Step{failed}
	for len(pending) > 0 {
		step := pending[0]
		pending = pending[1:]
		for _, dependent := range step.dependents {
			if seen[dependent] {
				continue
			}
			seen[dependent] = true
			pending = append(pending, dependent)
			m.cancelBlocked(dependent, reason)
		}
	}
}

func (m *Machine) cancelBlocked(step *Step, reason string) {
	for _, task := range step.Tasks {
		if task.State == TaskBlocked {
			m.finishWithoutRun(task, TaskCancelled, reason)
		}
	}
}

// archiveJobIfComplete takes what has ended out of memory: occurrences of a repeating
// job, and the job once all its tasks are final, no run is open and no
// occurrence is to come.
func (m *Machine) archiveJobIfComplete(job *Job) {
	if m.state.jobs[job.ID] != job {
		return
	}
	m.removeEndedOccurrences(job)
	if job.openRuns > 0 || !job.complete() {
		return
	}
	m.state.removeJob(job)
	m.archiveBatch = append(m.archiveBatch, newArchivedJob(job, m.state.clock, m.state.applied))
	m.endedJobs = append(m.endedJobs, job)
	m.emit(JobEnded{Job: job})
}
