package record

import "github.com/decklever/decklever/api"

// applyCloseRuns ends runs in the order given.
func (m *Machine) applyCloseRuns(closeRuns *CloseRuns) {
	m.applyGangSuccesses(closeRuns.Runs)
	for i := range closeRuns.Runs {
		end := &closeRuns.Runs[i]
		task := m.state.task(end.Run.Task)
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
	m.state.removeRun(run)
	if task.State.Final() { // its group has succeeded
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

// stateAfterRun decides what becomes of the task and notes failures and
// preemptions; one that came too late for a success is none. A worker that
// stops a run reports it as stopped, so that a failure which it reports of a run
// that was to be stopped is the task's own and counts, unless the job was
// cancelled. A task that runs until cancelled waits again however its run ended.
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
	if run.Stop == StopGang && task.Step.Spec.Lockstep {
		return TaskReady // the reason is why the group was broken
	}
	task.Reason = interruptionReason(run, end.Outcome)
	return TaskReady
}

func (m *Machine) stateAfterFailure(run *Run, end *RunEnd) TaskState {
	task := run.Task
	if task.Step.Spec.Lockstep {
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

// applyLateReport takes the success of a closed run if the task still waits: what
// the run did is done, whatever became of newer runs, and none of them is open.
// One that runs until cancelled has no success. Any other late report changes
// nothing but the checkpoint, if it is of the newest run.
func (m *Machine) applyLateReport(task *Task, end *RunEnd) {
	if task.State == TaskReady && end.Run.Number == task.LastRun {
		task.updateCheckpoint(end)
	}
	if end.Outcome != api.OutcomeSucceeded || task.State != TaskReady || task.RunsUntilCancelled() || task.Step.Spec.Lockstep {
		return
	}
	if end.Run.Number == 0 || end.Run.Number > task.LastRun {
		return
	}
	m.finishWithoutRun(task, TaskSucceeded, "")
}
