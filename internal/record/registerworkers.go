package record

// applyRegisterWorkers adds workers or updates what is known of them.
func (m *Machine) applyRegisterWorkers(register *RegisterWorkers, result *Result) {
	for i := range register.Workers {
		worker := register.Workers[i]
		if !m.registerWorker(&worker) {
			result.RejectedWorkers = append(result.RejectedWorkers, worker.Name)
		}
	}
}

// registerWorker adds or replaces one worker. It returns false, and changes
// nothing, if the name has an earlier incarnation with open runs, or if another
// name has the incarnation's id. Registering the same description again changes
// nothing and emits no event.
func (m *Machine) registerWorker(worker *Worker) bool {
	known := m.state.workers.byName[worker.Name]
	if other := m.state.workers.byID[worker.ID]; other != nil && other != known {
		return false
	}
	worker.RegisteredAt = m.state.clock
	if known != nil && known.ID == worker.ID {
		worker.RegisteredAt = known.RegisteredAt
		if known.SameDescription(worker) {
			return true
		}
	}
	if known != nil && known.ID != worker.ID && m.state.runs.anyOn(known.ID) {
		return false
	}
	m.state.workers.put(worker)
	m.emit(WorkerChanged{Worker: worker})
	return true
}
