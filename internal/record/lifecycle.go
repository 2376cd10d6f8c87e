package record

// This file has the task transitions that no run causes: from blocked to ready, and
// from waiting to final, with the consequences for dependent steps and for the job.

// startStep moves the blocked tasks of a step to ready. A step without tasks
// succeeds immediately.
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

// finishWithoutRun moves a task without an open run to a final state.
func (m *Machine) finishWithoutRun(task *Task, final TaskState, reason string) {
	wasReady := task.State == TaskReady
	task.Reason = reason
	m.state.setState(task, final)
	if wasReady {
		m.emit(TaskLeftReady{Task: task})
	}
	m.taskFinished(task)
}

// taskFinished handles a task that has just become final: it starts the steps whose
// dependencies have all succeeded, or cancels those that can never start. The caller
// must call archiveJobIfComplete after its last task has become final.
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

// unblockDependents starts the steps for which step was the last open dependency.
func (m *Machine) unblockDependents(step *Step) {
	for _, dependent := range step.dependents {
		dependent.OpenDependencies--
		if dependent.OpenDependencies == 0 {
			m.startStep(dependent)
		}
	}
}

// cancelDependents cancels, breadth first, the tasks of all steps that depend
// directly or transitively on a failed step. None of those steps has started.
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

// archiveJobIfComplete removes ended parts of a job from the state: the ended
// occurrences of a repeating job, and the job itself once it is complete and has no
// open run. It may be called several times per entry, also for a job that was
// already removed.
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
