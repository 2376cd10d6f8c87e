package record

// applyCancel cancels live jobs; unknown, ended and cancelled ones are passed
// over. A job has ended once all its tasks are final, although runs may be open.
func (m *Machine) applyCancel(cancel *Cancel) {
	for _, id := range cancel.Jobs {
		job := m.state.jobs[id]
		if job == nil || !job.MayCancel() {
			continue
		}
		job.Cancelled = true
		job.cancelRest()
		m.cancelTasks(job)
		m.endJobIfDone(job)
	}
}

func (m *Machine) cancelTasks(job *Job) {
	for _, step := range job.Steps {
		for _, task := range step.Tasks {
			switch {
			case task.State.Final():
			case task.Run != nil:
				m.markStopping(task.Run, StopCancelled)
			default:
				m.endWaiting(task, TaskCancelled, reasonJobCancelled)
			}
		}
	}
}

// applyStop marks open runs to be stopped.
func (m *Machine) applyStop(stop *Stop) {
	if stop.Reason == StopNone {
		return
	}
	for _, id := range stop.Runs {
		if run := m.openRun(id); run != nil {
			m.markStopping(run, stop.Reason)
			m.breakGroup(run.Task, "stopped: "+string(run.Stop))
		}
	}
}

// markStopping keeps the first reason, except that StopCancelled overrides.
func (m *Machine) markStopping(run *Run, reason StopReason) {
	overrides := reason == StopCancelled && run.Stop != StopCancelled
	if run.Stop != StopNone && !overrides {
		return
	}
	run.Stop = reason
	m.emit(RunStopping{Run: run})
}

// openRun returns the run if it is open, else nil.
func (m *Machine) openRun(id RunID) *Run {
	task := m.state.task(id.Task)
	if task == nil || task.Run == nil || task.Run.Number != id.Number {
		return nil
	}
	return task.Run
}
