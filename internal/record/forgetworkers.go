package record

// applyForgetWorkers removes workers that have no open run.
func (m *Machine) applyForgetWorkers(forget *ForgetWorkers) {
	for _, name := range forget.Names {
		worker := m.state.workers[name]
		if worker == nil || m.state.hasOpenRuns(worker.ID) {
			continue
		}
		delete(m.state.workers, name)
		delete(m.state.workersByID, worker.ID)
		m.emit(WorkerForgotten{Worker: worker})
	}
}
