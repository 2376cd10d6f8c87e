package record

// applyRegisterWorkers adds or updates workers, and reports the names of those
// that were rejected.
func (m *Machine) applyRegisterWorkers(register *RegisterWorkers, result *Result) {
	for i := range register.Workers {
		worker := register.Workers[i]
		if !m.registerWorker(&worker) {
			result.RejectedWorkers = append(result.RejectedWorkers, worker.Name)
		}
	}
}

// registerWorker adds or replaces one worker. It returns false, and changes nothing,
// if an earlier incarnation of the name has open runs, or if another name uses the
// incarnation's id. Registering an unchanged description again changes nothing and
// emits no event.
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
	if known != nil && known.ID != worker.ID && m.state.runs.hasRunsOn(known.ID) {
		return false
	}
	m.state.workers.put(worker)
	m.emit(WorkerChanged{Worker: worker})
	return true
}
