package record

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// placementChecker decides whether the placements of one unit are still valid. It
// checks each placement against the state and against the placements of the unit
// accepted before; it does not change the state. A placement is valid if
//
//   - the task is ready, its NotBefore has passed, and the run number is its next;
//   - the named incarnation is the worker's current one;
//   - the worker offers the task's service and labels and has free resources for it;
//   - the task's spread allows one more run in the worker's domain;
//   - the queue and the team are below their limits of running tasks.
//
// Conditions known only to the leader (heartbeats, drains, health, reservations) are
// not checked here.
type placementChecker struct {
	state    *state
	accepted []acceptedPlacement
}

// acceptedPlacement is a valid placement with its task and worker looked up.
type acceptedPlacement struct {
	task   *Task
	worker *Worker
	number uint32
}

// accept reports whether a placement is valid. A valid placement is added to
// c.accepted.
func (c *placementChecker) accept(placement *Placement) bool {
	task := c.state.jobs.task(placement.Run.Task)
	if task == nil || !c.taskIsPlaceable(task, placement.Run.Number) {
		return false
	}
	worker := c.state.workers.byName[placement.Worker]
	if worker == nil || worker.ID != placement.WorkerID {
		return false
	}
	if !c.workerIsFeasible(worker, task) || !c.withinRunningLimits(task) {
		return false
	}
	c.accepted = append(c.accepted, acceptedPlacement{task: task, worker: worker, number: placement.Run.Number})
	return true
}

// taskIsPlaceable reports whether the task may start now under the given run number
// and is not yet part of the unit.
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

// workerIsFeasible reports whether the worker can run the task in addition to its
// open runs.
func (c *placementChecker) workerIsFeasible(worker *Worker, task *Task) bool {
	return slices.Contains(worker.Services, task.Spec.Service) &&
		labelsMatch(task.Spec.Labels, worker.Labels) &&
		c.fits(worker, task) &&
		c.spreadSatisfied(worker, task)
}

// labelsMatch reports whether a worker offers every label that a task requires.
func labelsMatch(wanted, offered map[string]string) bool {
	for key, value := range wanted {
		if found, ok := offered[key]; !ok || found != value {
			return false
		}
	}
	return true
}

// fits reports whether the worker has enough free resources for the task.
func (c *placementChecker) fits(worker *Worker, task *Task) bool {
	used := c.state.runs.used(worker.ID)
	for _, accepted := range c.accepted {
		if accepted.worker == worker {
			used = used.Add(accepted.task.Spec.Resources)
		}
	}
	return used.Add(task.Spec.Resources).Fits(worker.Capacity)
}

// spreadSatisfied reports whether the open runs of the task's step in the worker's
// domain are fewer than the task's spread allows.
func (c *placementChecker) spreadSatisfied(worker *Worker, task *Task) bool {
	spread := task.Spec.Spread
	if spread == nil {
		return true
	}
	domain := spreadDomain(spread, worker)
	count := 0
	for _, other := range task.Step.Tasks {
		if other.Run != nil && spreadDomain(spread, c.state.workers.byName[other.Run.Worker]) == domain {
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

// spreadDomain returns the worker's failure domain: its name, its zone, or the value
// of a label. Workers without that label share one domain.
func spreadDomain(spread *api.Spread, worker *Worker) string {
	switch spread.By {
	case api.SpreadByWorker:
		return worker.Name
	case api.SpreadByZone:
		return worker.Zone
	}
	return worker.Labels[strings.TrimPrefix(spread.By, api.SpreadByLabelPrefix)]
}

// withinRunningLimits reports whether the limits of the task's queue and of its team
// allow one more running task.
func (c *placementChecker) withinRunningLimits(task *Task) bool {
	queue := c.state.config.queues[task.Step.Job.Spec.Queue]
	if !c.withinLimit(queue.MaxRunningTasks, c.state.counts.queues[queue.Name]) {
		return false
	}
	team := c.state.config.teams[queue.Team]
	return c.withinLimit(team.MaxRunningTasks, c.state.counts.teams[team.Name])
}

// withinLimit reports whether a limit of running tasks allows one more in addition
// to those counted and those accepted. A limit of 0 means no limit. counts is nil if
// no tasks are counted.
func (c *placementChecker) withinLimit(limit int, counts *QueueCounts) bool {
	if limit <= 0 {
		return true
	}
	running := len(c.accepted) // all placements of a unit belong to one job, and so to one queue
	if counts != nil {
		running += counts.RunningTasks
	}
	return running < limit
}
