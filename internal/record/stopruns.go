package record

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
