package record

// applyPlaceTasks opens the runs of the valid placements, in the given order, and
// reports the others as rejected. A gang is checked at the position of its first
// placement.
func (m *Machine) applyPlaceTasks(command *PlaceTasks, token uint64, result *Result) {
	for _, unit := range m.groupIntoUnits(command.Placements) {
		if !m.applyUnit(unit, token) {
			for _, placement := range unit.placements {
				result.Rejected = append(result.Rejected, placement.Run)
			}
		}
	}
}

// placementUnit is accepted or rejected as a whole. It is a single placement, or all
// placements of a gang.
type placementUnit struct {
	placements []Placement
	// size is the required number of placements.
	size int
}

// groupIntoUnits groups the placements of each gang into one unit; every other
// placement is a unit of its own. Units are in the order of their first placements.
// It calls GangSize before any run of the command is opened.
func (m *Machine) groupIntoUnits(placements []Placement) []*placementUnit {
	units := make([]*placementUnit, 0, len(placements))
	gangUnits := make(map[*Step]*placementUnit)
	for _, placement := range placements {
		size := 1
		var gang *Step
		if task := m.state.jobs.task(placement.Run.Task); task != nil {
			if gangSize := task.Step.GangSize(); gangSize > 0 {
				size, gang = gangSize, task.Step
			}
		}
		if unit := gangUnits[gang]; unit != nil {
			unit.placements = append(unit.placements, placement)
			continue
		}
		unit := &placementUnit{placements: []Placement{placement}, size: size}
		units = append(units, unit)
		if gang != nil {
			gangUnits[gang] = unit
		}
	}
	return units
}

// applyUnit opens the unit's runs if all of its placements are valid, and reports
// whether it did.
func (m *Machine) applyUnit(unit *placementUnit, token uint64) bool {
	if len(unit.placements) != unit.size {
		return false
	}
	checker := placementChecker{state: m.state}
	for i := range unit.placements {
		if !checker.accept(&unit.placements[i]) {
			return false
		}
	}
	for _, accepted := range checker.accepted {
		m.openRun(accepted, token)
	}
	return true
}

// openRun opens the run of an accepted placement.
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
	m.state.runs.add(run)
	m.emit(RunOpened{Run: run})
}
