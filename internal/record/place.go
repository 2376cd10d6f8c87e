package record

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// GroupSize is the number of members that must be placed in one Place, or 0
// if a member of the step may be placed alone.
//
// The rule: a step that is Together must be placed whole, which means all its
// members that are not final, unless some member has an open run that is not
// being stopped; then a member that is retried joins it alone. An open run
// marked StopGroup holds the whole step back until it is closed. So members
// wait together again after a group stop, and a member that fails once all
// have started is retried by itself. A step in lockstep is always placed whole.
func (s *Step) GroupSize() int {
	if !s.Grouped() {
		return 0
	}
	members, going, stopping := 0, false, false
	for _, task := range s.Tasks {
		if !task.State.Final() {
			members++
		}
		if task.Run != nil {
			going = going || task.Run.Stop == StopNone
			stopping = stopping || task.Run.Stop == StopGroup
		}
	}
	if going && !stopping && !s.Spec.Lockstep {
		return 0
	}
	return members
}

// applyPlace opens the runs that still fit, in the order given. The members
// of a group are tried where the first of them stands.
func (m *Machine) applyPlace(place *Place, token uint64, result *Result) {
	for _, unit := range m.placeUnits(place.Placements) {
		if !m.placeUnit(unit, token) {
			for _, placement := range unit.placements {
				result.Rejected = append(result.Rejected, placement.Run)
			}
		}
	}
}

// placeUnit is what is placed whole or not at all.
type placeUnit struct {
	placements []Placement
	// size is the number of placements that the unit must have.
	size int
}

// placeUnits joins the placements of each group; all others stand alone.
func (m *Machine) placeUnits(placements []Placement) []*placeUnit {
	units := make([]*placeUnit, 0, len(placements))
	groups := make(map[*Step]*placeUnit)
	for _, placement := range placements {
		size := 1
		var group *Step
		if task := m.state.task(placement.Run.Task); task != nil {
			if groupSize := task.Step.GroupSize(); groupSize > 0 {
				size, group = groupSize, task.Step
			}
		}
		if unit := groups[group]; unit != nil {
			unit.placements = append(unit.placements, placement)
			continue
		}
		unit := &placeUnit{placements: []Placement{placement}, size: size}
		units = append(units, unit)
		if group != nil {
			groups[group] = unit
		}
	}
	return units
}

// placeUnit opens the unit's runs if every one holds.
func (m *Machine) placeUnit(unit *placeUnit, token uint64) bool {
	if len(unit.placements) != unit.size {
		return false
	}
	check := placeCheck{state: m.state}
	for i := range unit.placements {
		if !check.take(&unit.placements[i]) {
			return false
		}
	}
	for _, taken := range check.taken {
		m.open(taken, token)
	}
	return true
}

// open opens a run that was checked.
func (m *Machine) open(taken takenPlace, token uint64) {
	task := taken.task
	run := &Run{
		Task:     task,
		Number:   taken.number,
		WorkerID: taken.worker.ID,
		Worker:   taken.worker.Name,
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

// placeCheck checks the placements of one unit, each against the record and
// those taken before it.
type placeCheck struct {
	state *state
	taken []takenPlace
}

type takenPlace struct {
	task   *Task
	worker *Worker
	number uint32
}

// take checks one placement and counts it in if it holds.
func (c *placeCheck) take(placement *Placement) bool {
	task := c.state.task(placement.Run.Task)
	if task == nil || !c.taskHolds(task, placement.Run.Number) {
		return false
	}
	worker := c.state.workers[placement.Worker]
	if worker == nil || worker.ID != placement.WorkerID {
		return false
	}
	if !c.workerHolds(worker, task) || !c.boundsHold(task) {
		return false
	}
	c.taken = append(c.taken, takenPlace{task: task, worker: worker, number: placement.Run.Number})
	return true
}

func (c *placeCheck) taskHolds(task *Task, number uint32) bool {
	if task.State != TaskReady || task.Step.Job.Cancelled {
		return false
	}
	if c.state.clock < task.NotBefore || number != task.NextRun() {
		return false
	}
	return !slices.ContainsFunc(c.taken, func(taken takenPlace) bool {
		return taken.task == task
	})
}

func (c *placeCheck) workerHolds(worker *Worker, task *Task) bool {
	return slices.Contains(worker.Services, task.Spec.Service) &&
		labelsMatch(task.Spec.Labels, worker.Labels) &&
		c.fits(worker, task) &&
		c.spreadHolds(worker, task)
}

func labelsMatch(wanted, offered map[string]string) bool {
	for key, value := range wanted {
		if found, ok := offered[key]; !ok || found != value {
			return false
		}
	}
	return true
}

func (c *placeCheck) fits(worker *Worker, task *Task) bool {
	used := c.state.used(worker.ID)
	for _, taken := range c.taken {
		if taken.worker == worker {
			used = used.Add(taken.task.Spec.Resources)
		}
	}
	return used.Add(task.Spec.Resources).Fits(worker.Capacity)
}

// spreadHolds counts the open runs of the task's step in the worker's domain.
func (c *placeCheck) spreadHolds(worker *Worker, task *Task) bool {
	spread := task.Spec.Spread
	if spread == nil {
		return true
	}
	domain := spreadDomain(spread, worker)
	count := 0
	for _, other := range task.Step.Tasks {
		if other.Run != nil && spreadDomain(spread, c.state.workers[other.Run.Worker]) == domain {
			count++
		}
	}
	for _, taken := range c.taken {
		if taken.task.Step == task.Step && spreadDomain(spread, taken.worker) == domain {
			count++
		}
	}
	return count < max(spread.MaxPerDomain, 1)
}

// spreadDomain is the worker's domain; workers without the label share one.
func spreadDomain(spread *api.Spread, worker *Worker) string {
	switch spread.By {
	case api.SpreadByWorker:
		return worker.Name
	case api.SpreadByZone:
		return worker.Zone
	}
	return worker.Labels[strings.TrimPrefix(spread.By, api.SpreadByLabelPrefix)]
}

// boundsHold checks the bounds of the task's queue and of its team.
func (c *placeCheck) boundsHold(task *Task) bool {
	queue := c.state.settings.queues[task.Step.Job.Spec.Queue]
	if !c.roomWithin(queue.MaxRunningTasks, c.state.queues[queue.Name]) {
		return false
	}
	team := c.state.settings.teams[queue.Team]
	return c.roomWithin(team.MaxRunningTasks, c.state.teams[team.Name])
}

// roomWithin reports whether a bound on open runs, 0 for none, lets in one more
// than what is counted and was taken. counts is nil if nothing is counted.
func (c *placeCheck) roomWithin(most int, counts *QueueCounts) bool {
	if most <= 0 {
		return true
	}
	running := len(c.taken) // a unit lies within one job, hence one queue
	if counts != nil {
		running += counts.RunningTasks
	}
	return running < most
}
