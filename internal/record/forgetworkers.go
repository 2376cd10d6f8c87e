package record

// applyForgetWorkers removes the named workers that have no open run.
func (m *Machine) applyForgetWorkers(forget *ForgetWorkers) {
	for _, name := range forget.Names {
		worker := m.state.workers.byName[name]
		if worker == nil || m.state.runs.hasRunsOn(worker.ID) {
			continue
		}
		m.state.workers.remove(worker)
		m.emit(WorkerForgotten{Worker: worker})
	}
}
