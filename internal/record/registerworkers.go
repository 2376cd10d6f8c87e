package record

// applyRegisterWorkers adds workers or changes what is known of them.
func (m *Machine) applyRegisterWorkers(register *RegisterWorkers, result *Result) {
	for i := range register.Workers {
		worker := register.Workers[i]
		if !m.registerWorker(&worker) {
			result.RejectedWorkers = append(result.RejectedWorkers, worker.Name)
		}
	}
}

// registerWorker returns false if the name has an earlier incarnation with
// open runs, or if another name holds the incarnation's id.
func (m *Machine) registerWorker(worker *Worker) bool {
	known := m.state.workers[worker.Name]
	if holder := m.state.workersByID[worker.ID]; holder != nil && holder != known {
		return false
	}
	worker.RegisteredAt = m.state.clock
	if known != nil && known.ID == worker.ID {
		worker.RegisteredAt = known.RegisteredAt
		if known.SameDescription(worker) {
			return true
		}
	}
	if known != nil && known.ID != worker.ID {
		if m.state.hasOpenRuns(known.ID) {
			return false
		}
		delete(m.state.workersByID, known.ID)
	}
	m.state.workers[worker.Name] = worker
	m.state.workersByID[worker.ID] = worker
	m.emit(WorkerChanged{Worker: worker})
	return true
}
