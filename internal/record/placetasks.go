package record

// applyPlaceTasks opens the runs that still fit, in the order given. The members
// of a group are tried where the first of them stands.
func (m *Machine) applyPlaceTasks(position *PlaceTasks, token uint64, result *Result) {
	for _, unit := range m.groupIntoUnits(position.Placements) {
		if !m.applyUnit(unit, token) {
			for _, placement := range unit.placements {
				result.Rejected = append(result.Rejected, placement.Run)
			}
		}
	}
}

// placeUnit is what is placed whole or not at all.
type placementUnit struct {
	placements []Placement
	// size is the number of placements that the unit must have.
	size int
}

// groupIntoUnits joins the placements of each group; all others stand alone.
func (m *Machine) groupIntoUnits(placements []Placement) []*placementUnit {
	units := make([]*placementUnit, 0, len(placements))
	groups := make(map[*Step]*placementUnit)
	for _, placement := range placements {
		size := 1
		var group *Step
		if task := m.state.task(placement.Run.Task); task != nil {
			if groupSize := task.Step.GangSize(); groupSize > 0 {
				size, group = groupSize, task.Step
			}
		}
		if unit := groups[group]; unit != nil {
			unit.placements = append(unit.placements, placement)
			continue
		}
		unit := &placementUnit{placements: []Placement{placement}, size: size}
		units = append(units, unit)
		if group != nil {
			groups[group] = unit
		}
	}
	return units
}

// placeUnit opens the unit's runs if every one holds.
func (m *Machine) applyUnit(unit *placementUnit, token uint64) bool {
	if len(unit.placements) != unit.size {
		return false
	}
	check := placementChecker{state: m.state}
	for i := range unit.placements {
		if !check.accept(&unit.placements[i]) {
			return false
		}
	}
	for _, accepted := range check.accepted {
		m.openRun(accepted, token)
	}
	return true
}

// openRun opens a run that was checked.
func (m *Machine) openRun(accepted acceptedPlacement, token uint64) {
	task := accepted.task
	run := &Run{
		Task:     task,
		Number:   accepted.number,
		WorkerID: accepted.worker.ID,
		Worker:   accepted.worker.Name,
		Token:    token,
		PlacedAt: m.state.clock,
	}
	task.LastRun = run.Number
	task.LastWorker = run.Worker
	task.Step.Job.started = true
	m.state.setRun(task, TaskPlaced, run)
	m.state.addRun(run)
	m.emit(RunOpened{Run: run})
}
