package record

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
)

// invariantChecker checks the machine after each command against what earlier events
// and results have shown.
type invariantChecker struct {
	t        *rapid.T
	machine  *Machine
	open     map[RunID]bool
	lastRun  map[*Task]uint32
	final    map[*Task]TaskState
	accepted map[string]bool
	// withdrawn holds the times at which jobs were cancelled that had not been accepted.
	withdrawn map[string]Millis
	// preemptions holds the expected value of Task.Preemptions.
	preemptions map[*Task]int
	// failedRuns holds the numbers of the failed runs of each step. They are
	// checked for gangs with a common outcome.
	failedRuns map[*Step]map[uint32]bool
	// checkpointRun holds the run that reported the checkpoint seen last.
	checkpointRun map[*Task]uint32
	released      []ReleaseWindow
	// releasedBefore is the length of released before the newest command.
	releasedBefore int
	// drained holds the zones that DrainZone commands drained.
	drained map[string]bool
	// drainedInConfig holds the zones drained by configuration configVersion.
	drainedInConfig []string
	configVersion   uint64
}

func newInvariantChecker(t *rapid.T, machine *Machine) *invariantChecker {
	c := &invariantChecker{
		t: t, machine: machine, open: make(map[RunID]bool), lastRun: make(map[*Task]uint32),
		final: make(map[*Task]TaskState), accepted: make(map[string]bool),
		withdrawn:   make(map[string]Millis),
		preemptions: make(map[*Task]int), drained: make(map[string]bool),
		failedRuns: make(map[*Step]map[uint32]bool), checkpointRun: make(map[*Task]uint32),
	}
	machine.Observe(nil, c.observeEvent)
	return c
}

func (c *invariantChecker) observeEvent(event Event) {
	switch e := event.(type) {
	case RunOpened:
		if c.open[e.Run.ID()] || e.Run.Number != c.lastRun[e.Run.Task]+1 {
			c.t.Fatalf("run %v was opened twice or out of order", e.Run.ID())
		}
		if e.Run.Task.Step.OpenDependencies != 0 || e.Run.Task.Step.Job.Cancelled {
			c.t.Fatalf("run %v was opened although its step is blocked or its job is cancelled", e.Run.ID())
		}
		if e.Run.Task.Step.earliestTaskStart() > c.machine.state.clock {
			c.t.Fatalf("run %v was opened before its earliest start", e.Run.ID())
		}
		c.lastRun[e.Run.Task] = e.Run.Number
		c.open[e.Run.ID()] = true
		c.checkRunningLimits(e.Run.Task.Step.Job.Spec.Queue)
	case RunClosed:
		if !c.open[e.Run.ID()] {
			c.t.Fatalf("run %v was closed but was not open", e.Run.ID())
		}
		delete(c.open, e.Run.ID())
		if e.Run.Stop == StopPreempted && e.Outcome != api.OutcomeSucceeded && e.Run.Task.State != TaskSucceeded {
			c.preemptions[e.Run.Task]++
		}
		// The event is emitted after the state changed. If the machine did not
		// count a failure recorded here, checkGangMember fails.
		cancelled := e.Run.Stop == StopCancelled || e.Run.Task.Step.Job.Cancelled
		if !cancelled && e.Outcome == api.OutcomeFailed && e.Run.Task.State != TaskSucceeded {
			c.recordFailedRun(e.Run)
		}
		c.checkBackoff(e.Run.Task)
	case WindowReleased:
		c.released = append(c.released, e.Window)
	case OccurrenceEnded:
		c.checkRemovedSteps(e.Steps)
	case JobEnded:
		c.checkRemovedSteps(e.Job.Steps)
		c.checkRepetition(e.Job)
	}
}

// checkBackoff checks the bound on the backoff of a task that runs until cancelled.
func (c *invariantChecker) checkBackoff(task *Task) {
	s := c.machine.state
	longest := max(Millis(s.config.effective.Timings.RetryDelay.Std()/time.Millisecond), 2000)
	if backoff := task.NotBefore - max(s.clock, task.Step.earliestTaskStart()); task.RunsUntilCancelled() && backoff > longest {
		c.t.Fatalf("%s: backoff of %d ms after a run is too long", task.ID, backoff)
	}
}

// checkRemovedSteps checks steps that are being removed from the state.
func (c *invariantChecker) checkRemovedSteps(steps []*Step) {
	for _, step := range steps {
		for _, task := range step.Tasks {
			c.checkTask(task)
			if !task.State.Final() {
				c.t.Fatalf("%s was removed in state %d", task.ID, task.State)
			}
		}
	}
}

// checkRepetition compares the counts of a repeating job with its live occurrences.
func (c *invariantChecker) checkRepetition(job *Job) {
	if job.Repetition == nil {
		return
	}
	counted := job.Repetition.Succeeded + job.Repetition.Failed + job.Repetition.Cancelled + len(job.occurrences)
	if counted != job.Repetition.Next || counted > job.Occurrences() {
		c.t.Fatalf("job %s: counted %d occurrences of %d, want the number added: %+v", job.ID, counted, job.Occurrences(), *job.Repetition)
	}
	if job.Repetition.Cancelled > 0 && !job.Cancelled {
		c.t.Fatalf("job %s: occurrences are counted as cancelled, but the job is not cancelled", job.ID)
	}
	for _, live := range job.occurrences {
		if live.ended() {
			c.t.Fatalf("job %s: occurrence %d has ended but was not removed", job.ID, live.number)
		}
	}
}

// checkRunningLimits checks the limits of the queue and its team after a run was
// opened.
func (c *invariantChecker) checkRunningLimits(queue string) {
	s := c.machine.state
	limit := s.config.queues[queue].MaxRunningTasks
	if limit > 0 && s.counts.queues[queue].RunningTasks > limit {
		c.t.Fatalf("queue %s exceeds its limit of %d running tasks", queue, limit)
	}
	team := s.config.queues[queue].Team
	limit = s.config.teams[team].MaxRunningTasks
	if limit > 0 && s.counts.teams[team].RunningTasks > limit {
		c.t.Fatalf("team %s exceeds its limit of %d running tasks", team, limit)
	}
}

// checkReleasedWindows compares the released windows in the state with the events.
func (c *invariantChecker) checkReleasedWindows(command Command, before int) {
	s := c.machine.state
	if release := command.ReleaseWindow; release != nil {
		known := slices.ContainsFunc(c.released[:before], func(other ReleaseWindow) bool {
			return other.End > s.clock && release.sameWindow(other)
		})
		if notified := len(c.released) > before; notified == (known || release.End <= s.clock) {
			c.t.Fatalf("release of window %v: got event %v, want an event if and only if the window is not released yet and has not ended", *release, notified)
		}
	}
	c.released = slices.DeleteFunc(c.released, func(window ReleaseWindow) bool { return window.End <= s.clock })
	slices.SortFunc(c.released, compareReleases)
	if !slices.Equal(c.released, s.releasedWindows) {
		c.t.Fatalf("got released windows %v, want %v", s.releasedWindows, c.released)
	}
}

// recordWithdrawn records the jobs of a cancel that have not been accepted.
func (c *invariantChecker) recordWithdrawn(cancel *CancelJobs) {
	if cancel == nil || !cancel.Withdraw {
		return
	}
	now := c.machine.state.clock
	for _, id := range cancel.Jobs {
		if at, known := c.withdrawn[id]; !c.accepted[id] && (!known || at+withdrawnRetention <= now) {
			c.withdrawn[id] = now
		}
	}
}

func (c *invariantChecker) checkCommand(command Command, result Result) {
	if command.SubmitJob != nil && result.Submit.Outcome == SubmitAccepted {
		if at, withdrawn := c.withdrawn[command.SubmitJob.ID]; withdrawn && c.machine.state.clock < at+withdrawnRetention {
			c.t.Fatalf("job %s was accepted although it was cancelled before", command.SubmitJob.ID)
		}
		c.accepted[command.SubmitJob.ID] = true
	}
	s := c.machine.state
	c.recordWithdrawn(command.CancelJobs)
	c.checkDrains(command, result)
	c.checkReleasedWindows(command, c.releasedBefore)
	c.releasedBefore = len(c.released)
	tasks, runs, used, queues := 0, 0, make(map[string]api.Resources), make(map[string]QueueCounts)
	for _, job := range s.jobs.sorted {
		open, finalWithOpenRun := 0, 0
		counts := queues[job.Spec.Queue]
		counts.Jobs++
		for _, step := range job.Steps {
			for _, task := range step.Tasks {
				c.checkTask(task)
				tasks++
				switch {
				case task.Run != nil:
					if task.State.Final() {
						finalWithOpenRun++
					} else {
						open++
					}
					runs++
					counts.RunningTasks++
					used[task.Run.WorkerID] = used[task.Run.WorkerID].Add(task.Spec.Resources)
				case !task.State.Final():
					open++
					counts.PendingTasks++
				}
			}
		}
		queues[job.Spec.Queue] = counts
		c.checkRepetition(job)
		moreOccurrences := job.Repetition != nil && job.Repetition.Next < job.Occurrences()
		if open+finalWithOpenRun == 0 && !moreOccurrences || open != job.OpenTasks || s.jobs.byID[job.ID] != job {
			c.t.Fatalf("job %s: found %d open tasks, OpenTasks is %d, or the job is complete or not indexed", job.ID, open, job.OpenTasks)
		}
	}
	if tasks != s.jobs.taskTotal {
		c.t.Fatalf("found %d tasks, taskTotal is %d", tasks, s.jobs.taskTotal)
	}
	c.checkTotals(runs, used, queues)
	c.checkTeamCounts(queues)
	c.checkAcceptedJobsFound()
}

func (c *invariantChecker) checkTask(task *Task) {
	if before, ended := c.final[task]; ended && before != task.State {
		c.t.Fatalf("%s: state changed after the task was final", task.ID)
	}
	if task.State.Final() {
		c.final[task] = task.State
	}
	gangSucceeded := task.Step.Spec.Lockstep && task.State == TaskSucceeded
	if (task.State == TaskPlaced) != (task.Run != nil) && !gangSucceeded {
		c.t.Fatalf("%s: got state %d, want TaskPlaced if and only if a run is open", task.ID, task.State)
	}
	if gangSucceeded && task.Run != nil && task.Run.Stop == StopNone {
		c.t.Fatalf("%s: the gang has succeeded, but the open run has no stop request", task.ID)
	}
	c.checkCheckpoint(task)
	if task.Preemptions != c.preemptions[task] {
		c.t.Fatalf("%s: got %d preemptions, want %d", task.ID, task.Preemptions, c.preemptions[task])
	}
	if task.Step.Spec.Lockstep {
		c.checkGangMember(task)
		return
	}
	if task.Spec.UntilCancelled {
		if task.State == TaskSucceeded || task.State == TaskFailed {
			c.t.Fatalf("%s runs until cancelled but is in state %d", task.ID, task.State)
		}
		return
	}
	if task.Failures > task.AllowedFailures || (task.Failures == task.AllowedFailures) != (task.State == TaskFailed) {
		c.t.Fatalf("%s: got %d failures of %d allowed in state %d", task.ID, task.Failures, task.AllowedFailures, task.State)
	}
}

func (c *invariantChecker) checkTotals(runs int, used map[string]api.Resources, queues map[string]QueueCounts) {
	s := c.machine.state
	if runs != s.runs.total || runs != len(c.open) || len(s.jobs.byID) != len(s.jobs.sorted) {
		c.t.Fatalf("found %d open runs, the run table counts %d, events show %d", runs, s.runs.total, len(c.open))
	}
	listed := 0
	for workerID, load := range s.runs.byWorkerID {
		for _, run := range load.runs {
			listed++
			if run.Task.Run != run || run.WorkerID != workerID {
				c.t.Fatalf("worker %s: run %v is listed but is not open on that worker", workerID, run.ID())
			}
		}
	}
	if listed != runs {
		c.t.Fatalf("got %d listed runs, want %d", listed, runs)
	}
	for workerID, amount := range used {
		worker := s.workers.byID[workerID]
		if s.runs.used(workerID) != amount || worker == nil || !amount.Fits(worker.Capacity) {
			c.t.Fatalf("worker %s is unknown, overcommitted or miscounted: runs use %v, the run table counts %v", workerID, amount, s.runs.used(workerID))
		}
	}
	if len(used) != len(s.runs.byWorkerID) || len(queues) != len(s.counts.queues) {
		c.t.Fatal("the run table has a worker without runs, or the counts a queue without jobs")
	}
	for name, counts := range queues {
		if *s.counts.queues[name] != counts {
			c.t.Fatalf("queue %s: found %v, counts are %v", name, counts, *s.counts.queues[name])
		}
	}
}

// checkTeamCounts compares a team's counts with the sum over its queues.
func (c *invariantChecker) checkTeamCounts(queues map[string]QueueCounts) {
	s := c.machine.state
	var sum QueueCounts
	for name, counts := range queues {
		if s.config.queues[name].Team == "t" {
			sum.Jobs += counts.Jobs
			sum.PendingTasks += counts.PendingTasks
			sum.RunningTasks += counts.RunningTasks
		}
	}
	c.machine.Read(func(v View) {
		if got := v.TeamCounts("t"); got != sum {
			c.t.Fatalf("got team counts %v, want %v", got, sum)
		}
	})
	if sum == (QueueCounts{}) && len(s.counts.teams) > 0 {
		c.t.Fatal("counts of a team without jobs were not deleted")
	}
}

func (c *invariantChecker) checkAcceptedJobsFound() {
	expired := c.machine.state.expiredBefore > 0
	c.machine.Read(func(v View) {
		for id := range c.accepted {
			if _, known, err := v.Status(id, nil); err != nil || (!known && !expired) {
				c.t.Fatalf("job %s was accepted but is not found: error %v", id, err)
			}
		}
	})
}

// checkDrains compares the drained zones in the state with the DrainZone commands, and
// those of the configuration with the accepted PutConfig commands.
func (c *invariantChecker) checkDrains(command Command, result Result) {
	if order := command.DrainZone; order != nil {
		c.drained[order.Zone] = order.Drained
	}
	if put := command.PutConfig; put != nil && result.Config.Refusal == nil && result.Config.Version > c.configVersion {
		c.drainedInConfig, c.configVersion = put.Config.Drains.Zones, result.Config.Version
	}
	var expected []string
	for _, zone := range slices.Sorted(maps.Keys(c.drained)) {
		if c.drained[zone] {
			expected = append(expected, zone)
		}
	}
	c.machine.Read(func(v View) {
		if !slices.Equal(v.DrainedZones(), expected) {
			c.t.Fatalf("got zones %v drained by DrainZone commands, want %v", v.DrainedZones(), expected)
		}
		if _, config := v.Config(); !slices.Equal(config.Drains.Zones, c.drainedInConfig) {
			c.t.Fatalf("got zones %v drained by the configuration, want %v", config.Drains.Zones, c.drainedInConfig)
		}
	})
}
