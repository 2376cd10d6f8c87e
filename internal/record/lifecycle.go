package record

// This file has the transitions of a task that are not caused by a run: blocked
// to ready, and waiting to final, with what follows for the steps that depend on
// it and for the job.

// startStep makes the blocked tasks of a step ready. A step without tasks has
// succeeded at once.
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

// finishWithoutRun makes a task final that has no open run.
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
// or those that can never start are cancelled. The caller then calls
// archiveJobIfComplete, once all tasks that it makes final are.
func (m *Machine) taskFinished(task *Task) {
	step := task.Step
	task.countFinal()
	step.flagIfOccurrenceEnded()
	switch task.State {
	case TaskSucceeded:
		if step.succeeded() {
			m.unblockDependents(step)
		}
	case TaskFailed:
		if step.FailedTasks == 1 {
			m.cancelDependents(step)
		}
	}
}

// unblockDependents follows a step that has just succeeded.
func (m *Machine) unblockDependents(step *Step) {
	for _, dependent := range step.dependents {
		dependent.OpenDependencies--
		if dependent.OpenDependencies == 0 {
			m.startStep(dependent)
		}
	}
}

// cancelDependents cancels the tasks of all steps that wait, directly or
// through others, on a step that failed, breadth first. None of them has
// started.
func (m *Machine) cancelDependents(failed *Step) {
	reason := stepFailedReason(failed)
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

// archiveJobIfComplete removes what has ended from the state: the ended
// occurrences of a repeating job, and the job itself once it is complete and
// none of its runs is open. It may be called any number of times for one entry,
// also for a job that was removed before.
func (m *Machine) archiveJobIfComplete(job *Job) {
	if m.state.jobs.byID[job.ID] != job {
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
