package record

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// GangSize is the number of members that must be placed in one Place, or 0
// if a member of the step may be placed alone.
//
// The rule: a step that is Together must be placed whole, which means all its
// members that are not final, unless some member has an open run that is not
// being stopped; then a member that is retried joins it alone. An open run
// marked StopGang holds the whole step back until it is closed. So members
// wait together again after a group stop, and a member that fails once all
// have started is retried by itself. A step in lockstep is always placed whole.
func (s *Step) GangSize() int {
	if !s.IsGang() {
		return 0
	}
	members, going, stopping := 0, false, false
	for _, task := range s.Tasks {
		if !task.State.Final() {
			members++
		}
		if task.Run != nil {
			going = going || task.Run.Stop == StopNone
			stopping = stopping || task.Run.Stop == StopGang
		}
	}
	if going && !stopping && !s.Spec.Lockstep {
		return 0
	}
	return members
}

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

// placementChecker checks the placements of one unit, each against the record and
// those taken before it.
type placementChecker struct {
	state    *state
	accepted []acceptedPlacement
}

type acceptedPlacement struct {
	task   *Task
	worker *Worker
	number uint32
}

// accept checks one placement and counts it in if it holds.
func (c *placementChecker) accept(placement *Placement) bool {
	task := c.state.task(placement.Run.Task)
	if task == nil || !c.taskIsPlaceable(task, placement.Run.Number) {
		return false
	}
	worker := c.state.workers[placement.Worker]
	if worker == nil || worker.ID != placement.WorkerID {
		return false
	}
	if !c.workerIsFeasible(worker, task) || !c.withinRunningLimits(task) {
		return false
	}
	c.accepted = append(c.accepted, acceptedPlacement{task: task, worker: worker, number: placement.Run.Number})
	return true
}

func (c *placementChecker) taskIsPlaceable(task *Task, number uint32) bool {
	if task.State != TaskReady || task.Step.Job.Cancelled {
		return false
	}
	if c.state.clock < task.NotBefore || number != task.NextRun() {
		return false
	}
	return !slices.ContainsFunc(c.accepted, func(accepted acceptedPlacement) bool {
		return accepted.task == task
	})
}

func (c *placementChecker) workerIsFeasible(worker *Worker, task *Task) bool {
	return slices.Contains(worker.Services, task.Spec.Service) &&
		labelsMatch(task.Spec.Labels, worker.Labels) &&
		c.fits(worker, task) &&
		c.spreadSatisfied(worker, task)
}

func labelsMatch(wanted, offered map[string]string) bool {
	for key, value := range wanted {
		if found, ok := offered[key]; !ok || found != value {
			return false
		}
	}
	return true
}

func (c *placementChecker) fits(worker *Worker, task *Task) bool {
	used := c.state.usedResources(worker.ID)
	for _, accepted := range c.accepted {
		if accepted.worker == worker {
			used = used.Add(accepted.task.Spec.Resources)
		}
	}
	return used.Add(task.Spec.Resources).Fits(worker.Capacity)
}

// spreadSatisfied counts the open runs of the task's step in the worker's domain.
func (c *placementChecker) spreadSatisfied(worker *Worker, task *Task) bool {
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
	for _, accepted := range c.accepted {
		if accepted.task.Step == task.Step && spreadDomain(spread, accepted.worker) == domain {
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
func (c *placementChecker) withinRunningLimits(task *Task) bool {
	queue := c.state.settings.queues[task.Step.Job.Spec.Queue]
	if !c.withinLimit(queue.MaxRunningTasks, c.state.queueCounts[queue.Name]) {
		return false
	}
	team := c.state.settings.teams[queue.Team]
	return c.withinLimit(team.MaxRunningTasks, c.state.teamCounts[team.Name])
}

// withinLimit reports whether a bound on open runs, 0 for none, lets in one more
// than what is counted and was taken. counts is nil if nothing is counted.
func (c *placementChecker) withinLimit(limit int, counts *QueueCounts) bool {
	if limit <= 0 {
		return true
	}
	running := len(c.accepted) // a unit lies within one job, hence one queue
	if counts != nil {
		running += counts.RunningTasks
	}
	return running < limit
}
