package record

// applyStopRuns requests the stop of open runs, and of the peers of a member of a
// gang with a common outcome.
func (m *Machine) applyStopRuns(stop *StopRuns) {
	if stop.Reason == StopNone {
		return
	}
	for _, id := range stop.Runs {
		if run := m.findOpenRun(id); run != nil {
			m.requestStop(run, stop.Reason)
			m.stopGangPeers(run.Task, stopRequestedReason(run.Stop))
		}
	}
}

// requestStop sets why an open run is to be stopped. The first reason is final,
// except that StopCancelled replaces any other. The run stays open until its end
// is applied.
func (m *Machine) requestStop(run *Run, reason StopReason) {
	replaces := reason == StopCancelled && run.Stop != StopCancelled
	if run.Stop != StopNone && !replaces {
		return
	}
	run.Stop = reason
	m.emit(RunStopping{Run: run})
}

// findOpenRun returns the run if it is open, else nil.
func (m *Machine) findOpenRun(id RunID) *Run {
	task := m.state.jobs.task(id.Task)
	if task == nil || task.Run == nil || task.Run.Number != id.Number {
		return nil
	}
	return task.Run
}
