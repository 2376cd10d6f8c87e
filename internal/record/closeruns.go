package record

import "github.com/decklever/decklever/api"

// applyCloseRuns closes runs in the given order. First it completes the gangs with a
// common outcome of which a run succeeded; see succeedGang.
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

// closeRun closes an open run: it sets the task's next state, then stops or fails
// the task's gang if that is due.
func (m *Machine) closeRun(run *Run, end *RunEnd) {
	task := run.Task
	m.state.runs.remove(run)
	if task.State.Final() { // its gang succeeded while the run was open
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

// stateAfterRun returns the task's next state and counts failures and preemptions.
// A run that succeeds after a preemption was requested is not counted as preempted.
// A worker reports a run that it stopped as stopped. A failure reported for a run
// with a requested stop is therefore the task's own and counts, unless the job was
// cancelled. A task that runs until cancelled becomes ready again whatever the outcome,
// unless the job was cancelled.
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
		return TaskReady // keep the reason, which names the member that ended first
	}
	task.Reason = interruptionReason(run, end.Outcome)
	return TaskReady
}

// stateAfterFailure counts a failure and returns TaskReady, or TaskFailed if no
// further failure is allowed. It always returns TaskReady for a gang with a common
// outcome, which failGangIfExhausted fails once all of its runs are closed.
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

// applyLateReport applies the end of a run that is already closed. A success
// completes the task if it is ready, that is, no newer run is open: the work of
// the reported run is done whatever the outcome of newer runs. Any other late
// report can only update the checkpoint, and only if it is for the newest run.
// Successes of gangs with a common outcome are applied by applyGangSuccesses.
func (m *Machine) applyLateReport(task *Task, end *RunEnd) {
	if task.State == TaskReady && end.Run.Number == task.LastRun {
		task.updateCheckpoint(end)
	}
	if end.Outcome != api.OutcomeSucceeded || task.State != TaskReady || task.RunsUntilCancelled() || task.Step.SharesOutcome() {
		return
	}
	if end.Run.Number == 0 || end.Run.Number > task.LastRun {
		return // no run with this number was placed
	}
	m.finishWithoutRun(task, TaskSucceeded, "")
}
