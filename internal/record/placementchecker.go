package record

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// placementChecker decides whether the placements of one unit still hold: each
// is checked against the state and against those of the unit that were accepted
// before it. It changes nothing. A placement holds if
//
//   - the task is ready, its NotBefore has come, and the run number is its next;
//   - the worker's current incarnation is the one named;
//   - the worker offers the task's service and labels and has the resources free;
//   - the task's spread allows one more run in the worker's domain;
//   - queue and team are below their limits of running tasks.
//
// What only the leader knows (heartbeats, drains, health, reservations) is not
// checked here.
type placementChecker struct {
	state    *state
	accepted []acceptedPlacement
}

// acceptedPlacement is a placement whose names were resolved.
type acceptedPlacement struct {
	task   *Task
	worker *Worker
	number uint32
}

// accept reports whether a placement holds, and adds it to those accepted if it
// does.
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

// taskIsPlaceable reports whether the task may be started now, under that run
// number, and is not in the unit already.
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

// workerIsFeasible reports whether the worker can run the task beside what it runs.
func (c *placementChecker) workerIsFeasible(worker *Worker, task *Task) bool {
	return slices.Contains(worker.Services, task.Spec.Service) &&
		labelsMatch(task.Spec.Labels, worker.Labels) &&
		c.fits(worker, task) &&
		c.spreadSatisfied(worker, task)
}

// labelsMatch reports whether a worker offers every label that a task asks for.
func labelsMatch(wanted, offered map[string]string) bool {
	for key, value := range wanted {
		if found, ok := offered[key]; !ok || found != value {
			return false
		}
	}
	return true
}

// fits reports whether the task's resources are free on the worker.
func (c *placementChecker) fits(worker *Worker, task *Task) bool {
	used := c.state.runs.used(worker.ID)
	for _, accepted := range c.accepted {
		if accepted.worker == worker {
			used = used.Add(accepted.task.Spec.Resources)
		}
	}
	return used.Add(task.Spec.Resources).Fits(worker.Capacity)
}

// spreadSatisfied reports whether the worker's domain has fewer open runs of the
// task's step than its spread allows.
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

// spreadDomain is the worker's failure domain: its name, its zone, or the value
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

// withinRunningLimits reports whether the task's queue and its team may have one
// more running task.
func (c *placementChecker) withinRunningLimits(task *Task) bool {
	queue := c.state.config.queues[task.Step.Job.Spec.Queue]
	if !c.withinLimit(queue.MaxRunningTasks, c.state.counts.queues[queue.Name]) {
		return false
	}
	team := c.state.config.teams[queue.Team]
	return c.withinLimit(team.MaxRunningTasks, c.state.counts.teams[team.Name])
}

// withinLimit reports whether a limit of running tasks, 0 for none, allows one
// more than those counted and those accepted. counts is nil if none are counted.
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
