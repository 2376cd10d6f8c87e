package record

// applyStopRuns requests a stop of open runs. If a run belongs to a gang with a
// common outcome, the runs of the other members are stopped as well.
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

// requestStop sets the stop reason of an open run. The first reason is kept, except
// that StopCancelled replaces any other. The run stays open until its end is
// applied.
func (m *Machine) requestStop(run *Run, reason StopReason) {
	replaces := reason == StopCancelled && run.Stop != StopCancelled
	if run.Stop != StopNone && !replaces {
		return
	}
	run.Stop = reason
	m.emit(RunStopping{Run: run})
}

// findOpenRun returns the run with the given id if it is open, otherwise nil.
func (m *Machine) findOpenRun(id RunID) *Run {
	task := m.state.jobs.task(id.Task)
	if task == nil || task.Run == nil || task.Run.Number != id.Number {
		return nil
	}
	return task.Run
}
