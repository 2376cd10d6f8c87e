package record

import "github.com/decklever/decklever/api"

// applyCloseRuns ends runs in the order given.
func (m *Machine) applyCloseRuns(command *CloseRuns) {
	m.applyGangSuccesses(command.Runs)
	for i := range command.Runs {
		end := &command.Runs[i]
		task := m.state.jobs.task(end.Run.Task)
		if task == nil {
			continue
		}
		if run := m.findOpenRun(end.Run); run != nil {
			m.closeRun(run, end)
		} else {
			m.applyLateReport(task, end)
		}
		m.archiveJobIfComplete(task.Step.Job)
	}
}

// closeRun ends an open run.
func (m *Machine) closeRun(run *Run, end *RunEnd) {
	task := run.Task
	m.state.runs.remove(run)
	if task.State.Final() { // by the success of its gang
		m.state.setRun(task, task.State, nil)
		m.emit(RunClosed{Run: run, Outcome: end.Outcome})
		return
	}
	task.updateCheckpoint(end)
	next := m.stateAfterRun(run, end)
	m.state.setRun(task, next, nil)
	m.emit(RunClosed{Run: run, Outcome: end.Outcome})
	if next != TaskReady {
		m.taskFinished(task)
		return
	}
	m.emit(TaskBecameReady{Task: task})
	m.stopGangPeers(task, task.Reason)
	m.failGangIfExhausted(task.Step)
}

// stateAfterRun returns the task's next state, and counts failures and
// preemptions; a run that succeeded although it was to be preempted counts as
// none. A worker reports a run that it stopped as stopped, so a failure that it
// reports of a run that was to be stopped is the task's own and counts, unless
// the job was cancelled. A task that runs until cancelled is ready again however
// its run ended.
func (m *Machine) stateAfterRun(run *Run, end *RunEnd) TaskState {
	task := run.Task
	succeeded := end.Outcome == api.OutcomeSucceeded
	if succeeded && !task.RunsUntilCancelled() {
		task.Reason = ""
		return TaskSucceeded
	}
	if run.Stop == StopPreempted && !succeeded {
		task.Preemptions++
	}
	if run.Stop == StopCancelled || task.Step.Job.Cancelled {
		task.Reason = reasonJobCancelled
		return TaskCancelled
	}
	if end.Outcome == api.OutcomeFailed {
		return m.stateAfterFailure(run, end)
	}
	if run.Stop == StopGang && task.Step.SharesOutcome() {
		return TaskReady // the reason stays that of the member that ended first
	}
	task.Reason = interruptionReason(run, end.Outcome)
	return TaskReady
}

// stateAfterFailure counts a failure and returns TaskReady, or TaskFailed if it
// was the last one allowed. A gang with a common outcome fails later, in
// failGangIfExhausted.
func (m *Machine) stateAfterFailure(run *Run, end *RunEnd) TaskState {
	task := run.Task
	if task.Step.SharesOutcome() {
		m.countGangFailure(run, end)
		return TaskReady
	}
	task.countFailure(run, m.state.clock)
	task.Reason = failureReason(end.Message)
	if task.Failures >= task.AllowedFailures && !task.Spec.UntilCancelled {
		return TaskFailed
	}
	task.NotBefore = m.state.clock + m.retryBackoff(task)
	return TaskReady
}

// applyLateReport applies the end of a run that is closed already. A success
// counts if the task is ready: the work of that run is done, whatever became of
// newer runs, and none of them is open. Any other late report changes nothing
// but the checkpoint, if it is of the newest run. Successes of gangs with a
// common outcome were applied by applyGangSuccesses.
func (m *Machine) applyLateReport(task *Task, end *RunEnd) {
	if task.State == TaskReady && end.Run.Number == task.LastRun {
		task.updateCheckpoint(end)
	}
	if end.Outcome != api.OutcomeSucceeded || task.State != TaskReady || task.RunsUntilCancelled() || task.Step.SharesOutcome() {
		return
	}
	if end.Run.Number == 0 || end.Run.Number > task.LastRun {
		return // no such run was placed
	}
	m.finishWithoutRun(task, TaskSucceeded, "")
}
