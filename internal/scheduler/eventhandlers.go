package scheduler

import (
	"log/slog"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// handleEvent applies an event of the record to the leader's state. The record calls it
// under its own lock, in the order of the log.
func (l *leader) handleEvent(event record.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch change := event.(type) {
	case record.TaskBecameReady:
		l.taskReady(change.Task)
	case record.TaskLeftReady:
		l.taskLeftReady(change.Task)
	case record.RunOpened:
		l.runOpened(change.Run, placedByThisLeader)
	case record.RunStopping:
		l.runStopping(change.Run)
	case record.RunClosed:
		l.runClosed(change.Run, change.Outcome)
	case record.JobAdded:
		l.repeats.Add(change.Job)
		l.admission.slo.ObserveCriticalPath(change.Job.Spec.Queue, l.pending.criticalPathsOf(change.Job).Job)
		l.assignments.pendingStarts.add(change.Job)
	case record.OccurrenceAdded:
		l.repeats.OccurrenceAdded(change.Job)
	case record.OccurrenceEnded:
		l.stepsEnded(change.Steps)
	case record.JobEnded:
		l.jobEnded(change.Job)
	case record.ConfigChanged:
		l.configChangedTo(change.Version, change.Config)
		l.applyDrains()
	case record.ZoneDrainChanged:
		l.drains.setZoneDrained(change.Zone, change.Drained)
		l.applyDrains()
	case record.WorkerChanged:
		l.workerRegistered(change.Worker)
	case record.WorkerForgotten:
		l.workerForgotten(change.Worker)
	case record.WindowReleased:
		l.calendar.Release(change.Window)
	case record.StateReplaced:
		// A leader never installs a snapshot, so this term is about to end.
	}
	l.wake()
}

// loadStep adds the ready tasks and the gang of a step at the start of a term.
func (l *leader) loadStep(step *record.Step) {
	for _, task := range step.Tasks {
		if task.State == record.TaskReady {
			l.taskReady(task)
		}
	}
	if step.IsGang() {
		l.gangs.load(step)
	}
}

// taskReady adds a task that became ready to the waiting tasks, and offers it to the
// planner if it is due. Other tasks are offered by releaseTimers.
func (l *leader) taskReady(task *record.Task) {
	entry := l.pending.newTask(task, l.settings.config)
	l.health.setPlacementHints(&entry.task, task)
	l.pending.add(entry)
	if task.Step.IsGang() {
		l.gangs.join(entry, task.Step)
	}
	if entry.due {
		l.offer(entry)
	}
}

// taskLeftReady removes a task that became final without a run from the waiting tasks,
// the planner and its gang.
func (l *leader) taskLeftReady(task *record.Task) {
	entry := l.pending.remove(task.ID)
	if entry == nil {
		return
	}
	l.planner.Remove(task.ID)
	l.planner.Release(task.ID)
	l.gangs.leave(entry.step, task)
}

// offer offers a due task to the planner for placement. For a member of a gang it
// offers the gang.
func (l *leader) offer(entry *waitingTask) {
	if gang := l.gangs.find(entry.step); gang != nil {
		l.gangs.offer(gang)
		return
	}
	l.pending.offer(entry)
}

// offerChanged offers again the tasks whose rank has changed; each gang only once.
func (l *leader) offerChanged(entries []*waitingTask) {
	offered := make(map[record.StepID]bool)
	for _, entry := range entries {
		if l.gangs.find(entry.step) != nil {
			if offered[entry.step] {
				continue
			}
			offered[entry.step] = true
		}
		l.offer(entry)
	}
}

// releaseTimers offers the tasks that have become due at the cluster time now.
func (l *leader) releaseTimers(now record.Millis) {
	due := l.pending.timers.takeDue(now)
	for _, id := range due {
		if entry := l.pending.becomeDue(id, now); entry != nil {
			l.offer(entry)
		}
	}
	if len(due) > 0 {
		l.wake()
	}
}

// runOpened starts to track an open run. The planner accounts for the run's capacity
// before the worker and the gang are updated, since these updates may queue the closing
// of the run at once.
func (l *leader) runOpened(open *record.Run, by placedBy) *runState {
	task := open.Task
	run := newRunState(open, by, l.now())
	l.pending.setPlaced(task.ID)
	l.planner.Remove(task.ID)
	job := task.Step.Job
	l.planner.AddRun(placement.Task{
		ID: task.ID, Queue: job.Spec.Queue, Priority: job.Spec.Priority + queuePriority(l.settings.config, job.Spec.Queue),
		Spec: task.Spec, StartedAt: open.PlacedAt, Preemptions: task.Preemptions, UntilCancelled: task.RunsUntilCancelled(),
	}, open.WorkerID)
	l.assignments.add(run)
	worker := l.registry.byID[open.WorkerID]
	if worker == nil {
		// The record accepts placements on registered incarnations only, so
		// this is an earlier incarnation that has been replaced since.
		worker = l.registry.add(record.Worker{ID: open.WorkerID, Name: open.Worker}, l.now())
		worker.lease.extend(l.registry.inheritedLeaseExpiry())
	}
	run.worker = worker
	worker.runs[run.id] = run
	if run.inGang {
		l.gangs.runOpened(run, open)
	}
	if worker.isLeaving() {
		l.proposer.closeIfNeverAssigned(run)
	}
	if l.pending.takePreempted(task.ID) {
		l.preemptRun(run)
	}
	return run
}

// runStopping handles the record's request to stop a run.
func (l *leader) runStopping(open *record.Run) {
	run, known := l.assignments.runs[open.ID()]
	if !known {
		return
	}
	run.stop = open.Stop
	l.proposer.closeIfNeverAssigned(run)
	if run.inGang {
		l.gangs.runStopping(run, open.Task.Step)
	}
}

// runClosed drops a run that was closed. The planner releases the run's capacity first,
// since a gang that breaks by the closing offers its members again at once.
func (l *leader) runClosed(open *record.Run, outcome api.Outcome) {
	run := l.assignments.remove(open.ID())
	if run == nil {
		return
	}
	l.planner.Release(run.id.Task)
	worker := run.worker
	if len(worker.runs) == 0 && (worker.lease.expired || !worker.registered) {
		l.registry.removePlannerWorker(worker)
	}
	l.health.observeRunEnd(run, open, outcome)
	if run.inGang {
		l.gangs.runClosed(run, outcome, open.Task.Step)
	}
	l.metrics.runsClosed.WithLabelValues(string(outcome)).Inc()
}

// jobEnded drops the state of an ended job, and wakes the calls that wait for its end.
func (l *leader) jobEnded(job *record.Job) {
	l.jobWaiters.jobEnded(job.ID)
	l.repeats.Remove(job.ID)
	delete(l.pending.criticalPaths, job.ID)
	l.assignments.pendingStarts.remove(job.ID)
	l.stepsEnded(job.Steps)
}

// stepsEnded drops the state of steps whose tasks are all final.
func (l *leader) stepsEnded(steps []*record.Step) {
	l.health.forgetSteps(steps)
	l.assignments.forgetSteps(steps)
	for _, step := range steps {
		l.gangs.remove(step)
	}
}

// configChangedTo applies a configuration. Waiting tasks are ranked again last, when the
// planner knows the queues of the new configuration.
func (l *leader) configChangedTo(version uint64, config *api.Config) {
	orderChanged := l.settings.config != nil && !sameOrder(l.settings.config, config)
	l.settings.set(version, config)
	l.registry.timings = &config.Timings
	l.drains.configure(config)
	rules := make([]placement.QueueRule, 0, len(config.Queues))
	for _, queue := range config.Queues {
		rules = append(rules, placement.QueueRule{
			Name: queue.Name, MaxRunning: queue.MaxRunningTasks, Weight: queue.Weight, Team: queue.Team,
			BySlack: queue.Objective != nil, HeadroomPercent: l.queueHeadroom(&queue),
		})
	}
	teams := make([]placement.TeamRule, 0, len(config.Teams))
	for _, team := range config.Teams {
		teams = append(teams, placement.TeamRule{Name: team.Name, MaxRunning: team.MaxRunningTasks})
	}
	l.planner.SetTeams(teams)
	l.planner.SetQueues(rules)
	l.admission.slo.ForgetUnused(config.Queues)
	l.planner.SetMaxPreemptions(l.maxPreemptions(config))
	l.calendar.Configure(config.Queues)
	if orderChanged {
		l.offerChanged(l.pending.reorder(config))
	}
	l.logger.Info("configuration in force", slog.Uint64("version", version))
}

// queueHeadroom returns the percentage of each worker that the queue leaves free; 0 if
// the feature Headroom is disabled.
func (l *leader) queueHeadroom(queue *api.QueueConfig) int {
	if l.disabledFeatures.Has(featuregate.Headroom) {
		return 0
	}
	return queue.HeadroomPercent
}

// maxPreemptions returns the maximum number of preemptions of one task; 0 if the feature
// Preemption is disabled.
func (l *leader) maxPreemptions(config *api.Config) int {
	if l.disabledFeatures.Has(featuregate.Preemption) {
		return 0
	}
	return config.Timings.MaxPreemptions
}

// workerRegistered adds or updates a worker as registered in the record, and drops the
// incarnation that it replaces. The record replaces an incarnation only when it has no
// open run.
func (l *leader) workerRegistered(info *record.Worker) {
	worker, earlier := l.registry.register(info)
	if earlier != nil {
		l.health.tracker.ForgetWorker(earlier.info.ID)
	}
	l.drains.applyTo(worker)
	l.registry.updatePlannerWorker(worker)
}

// workerForgotten drops the state of a worker that was removed from the record.
func (l *leader) workerForgotten(info *record.Worker) {
	if l.registry.forget(info) {
		l.health.tracker.ForgetWorker(info.ID)
	}
}
