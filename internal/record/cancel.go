package record

// applyCancelJobs cancels live jobs; unknown, ended and cancelled ones are passed
// over. A job has ended once all its tasks are final, although runs may be open.
func (m *Machine) applyCancelJobs(cancel *CancelJobs) {
	for _, id := range cancel.Jobs {
		job := m.state.jobs[id]
		if job == nil || !job.MayCancel() {
			continue
		}
		job.Cancelled = true
		job.cancelFutureOccurrences()
		m.cancelTasks(job)
		m.archiveJobIfComplete(job)
	}
}

func (m *Machine) cancelTasks(job *Job) {
	for _, step := range job.Steps {
		for _, task := range step.Tasks {
			switch {
			case task.State.Final():
			case task.Run != nil:
				m.requestStop(task.Run, StopCancelled)
			default:
				m.finishWithoutRun(task, TaskCancelled, reasonJobCancelled)
			}
		}
	}
}

// applyStopRuns marks open runs to be stopped.
func (m *Machine) applyStopRuns(stop *StopRuns) {
	if stop.Reason == StopNone {
		return
	}
	for _, id := range stop.Runs {
		if run := m.findOpenRun(id); run != nil {
			m.requestStop(run, stop.Reason)
			m.stopGangPeers(run.Task, "stopped: "+string(run.Stop))
		}
	}
}

// requestStop keeps the first reason, except that StopCancelled overrides.
func (m *Machine) requestStop(run *Run, reason StopReason) {
	overrides := reason == StopCancelled && run.Stop != StopCancelled
	if run.Stop != StopNone && !overrides {
		return
	}
	run.Stop = reason
	m.emit(RunStopping{Run: run})
}

// findOpenRun returns the run if it is open, else nil.
func (m *Machine) findOpenRun(id RunID) *Run {
	task := m.state.task(id.Task)
	if task == nil || task.Run == nil || task.Run.Number != id.Number {
		return nil
	}
	return task.Run
}
