package record

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

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
