package record

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
)

// invariantChecker compares the machine after each command with what its events and
// results have shown before.
type invariantChecker struct {
	t        *rapid.T
	machine  *Machine
	open     map[RunID]bool
	lastRun  map[*Task]uint32
	final    map[*Task]TaskState
	accepted map[string]bool
	// preemptions counts as Task.Preemptions should.
	preemptions map[*Task]int
	// failedRuns are the numbers of the failed runs of gangs with a common outcome.
	failedRuns map[*Step]map[uint32]bool
	// checkpointRun is the run that left the checkpoint seen last.
	checkpointRun map[*Task]uint32
	released      []ReleaseWindow
	// releasedBefore is the length of released before the newest command.
	releasedBefore int
	// drained are the zones that commands drained.
	drained map[string]bool
	// drainedInConfig are the zones that configuration configVersion drains.
	drainedInConfig []string
	configVersion   uint64
}

func newInvariantChecker(t *rapid.T, machine *Machine) *invariantChecker {
	c := &invariantChecker{
		t: t, machine: machine, open: make(map[RunID]bool), lastRun: make(map[*Task]uint32),
		final: make(map[*Task]TaskState), accepted: make(map[string]bool),
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
			c.t.Fatalf("%v opened again or out of order", e.Run.ID())
		}
		if e.Run.Task.Step.OpenDependencies != 0 || e.Run.Task.Step.Job.Cancelled {
			c.t.Fatalf("%v must not start", e.Run.ID())
		}
		if e.Run.Task.Step.earliestTaskStart() > c.machine.state.clock {
			c.t.Fatalf("%v started before it fell due", e.Run.ID())
		}
		c.lastRun[e.Run.Task] = e.Run.Number
		c.open[e.Run.ID()] = true
		c.checkRunningLimits(e.Run.Task.Step.Job.Spec.Queue)
	case RunClosed:
		if !c.open[e.Run.ID()] {
			c.t.Fatalf("%v closed but not open", e.Run.ID())
		}
		delete(c.open, e.Run.ID())
		if e.Run.Stop == StopPreempted && e.Outcome != api.OutcomeSucceeded && e.Run.Task.State != TaskSucceeded {
			c.preemptions[e.Run.Task]++
		}
		// The event comes after the change, so that a task whose last failure
		// is not counted by then would show.
		cancelled := e.Run.Stop == StopCancelled || e.Run.Task.Step.Job.Cancelled
		if !cancelled && e.Outcome == api.OutcomeFailed && e.Run.Task.State != TaskSucceeded {
			c.recordFailedRun(e.Run)
		}
		c.checkBackoff(e.Run.Task)
	case WindowReleased:
		c.released = append(c.released, e.Window)
	case OccurrenceEnded:
		c.checkFinished(e.Steps)
	case JobEnded:
		c.checkFinished(e.Job.Steps)
		c.checkRepetition(e.Job)
	}
}

// checkBackoff checks the bound on the backoff of a task that runs until cancelled.
func (c *invariantChecker) checkBackoff(task *Task) {
	s := c.machine.state
	longest := max(Millis(s.config.effective.Timings.RetryDelay.Std()/time.Millisecond), 2000)
	if pause := task.NotBefore - max(s.clock, task.Step.earliestTaskStart()); task.RunsUntilCancelled() && pause > longest {
		c.t.Fatalf("%s waits for %d ms after a run", task.ID, pause)
	}
}

// checkFinished checks steps that are removed from the state.
func (c *invariantChecker) checkFinished(steps []*Step) {
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
		c.t.Fatalf("job %s: %d occurrences of %d counted, %+v", job.ID, counted, job.Occurrences(), *job.Repetition)
	}
	if job.Repetition.Cancelled > 0 && !job.Cancelled {
		c.t.Fatalf("job %s: occurrences are cancelled, the job is not", job.ID)
	}
	for _, one := range job.occurrences {
		if one.ended() {
			c.t.Fatalf("job %s: occurrence %d has ended and is live", job.ID, one.number)
		}
	}
}

// checkRunningLimits checks queue and team right after a run was opened.
func (c *invariantChecker) checkRunningLimits(queue string) {
	s := c.machine.state
	limit := s.config.queues[queue].MaxRunningTasks
	if limit > 0 && s.counts.queues[queue].RunningTasks > limit {
		c.t.Fatalf("queue %s runs more than %d tasks", queue, limit)
	}
	team := s.config.queues[queue].Team
	limit = s.config.teams[team].MaxRunningTasks
	if limit > 0 && s.counts.teams[team].RunningTasks > limit {
		c.t.Fatalf("team %s runs more than %d tasks", team, limit)
	}
}

// checkReleasedWindows compares the released windows with those of the events.
func (c *invariantChecker) checkReleasedWindows(command Command, before int) {
	s := c.machine.state
	if release := command.ReleaseWindow; release != nil {
		known := slices.ContainsFunc(c.released[:before], func(other ReleaseWindow) bool {
			return other.End > s.clock && release.sameWindow(other)
		})
		if notified := len(c.released) > before; notified == (known || release.End <= s.clock) {
			c.t.Fatalf("release of %v notified: %v", *release, notified)
		}
	}
	c.released = slices.DeleteFunc(c.released, func(window ReleaseWindow) bool { return window.End <= s.clock })
	slices.SortFunc(c.released, compareReleases)
	if !slices.Equal(c.released, s.releasedWindows) {
		c.t.Fatalf("released %v, expected %v", s.releasedWindows, c.released)
	}
}

func (c *invariantChecker) checkCommand(command Command, result Result) {
	if command.SubmitJob != nil && result.Submit.Outcome == SubmitAccepted {
		c.accepted[command.SubmitJob.ID] = true
	}
	s := c.machine.state
	c.checkDrains(command, result)
	c.checkReleasedWindows(command, c.releasedBefore)
	c.releasedBefore = len(c.released)
	tasks, runs, used, queues := 0, 0, make(map[string]api.Resources), make(map[string]QueueCounts)
	for _, job := range s.jobs.sorted {
		open, outlasting := 0, 0
		counts := queues[job.Spec.Queue]
		counts.Jobs++
		for _, step := range job.Steps {
			for _, task := range step.Tasks {
				c.checkTask(task)
				tasks++
				switch {
				case task.Run != nil:
					if task.State.Final() {
						outlasting++
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
		toCome := job.Repetition != nil && job.Repetition.Next < job.Occurrences()
		if open+outlasting == 0 && !toCome || open != job.OpenTasks || s.jobs.byID[job.ID] != job {
			c.t.Fatalf("job %s: %d open tasks, %d counted", job.ID, open, job.OpenTasks)
		}
	}
	if tasks != s.jobs.taskTotal {
		c.t.Fatalf("%d tasks, %d counted", tasks, s.jobs.taskTotal)
	}
	c.checkTotals(runs, used, queues)
	c.checkTeamCounts(queues)
	c.checkJobsFound()
}

func (c *invariantChecker) checkTask(task *Task) {
	if before, ended := c.final[task]; ended && before != task.State {
		c.t.Fatalf("%s was final and changed", task.ID)
	}
	if task.State.Final() {
		c.final[task] = task.State
	}
	outlasts := task.Step.Spec.Lockstep && task.State == TaskSucceeded
	if (task.State == TaskPlaced) != (task.Run != nil) && !outlasts {
		c.t.Fatalf("%s: state %d and run do not match", task.ID, task.State)
	}
	if outlasts && task.Run != nil && task.Run.Stop == StopNone {
		c.t.Fatalf("%s: its gang has succeeded and its run is not to be stopped", task.ID)
	}
	c.checkCheckpoint(task)
	if task.Preemptions != c.preemptions[task] {
		c.t.Fatalf("%s: %d preemptions, expected %d", task.ID, task.Preemptions, c.preemptions[task])
	}
	if task.Step.Spec.Lockstep {
		c.checkGangMember(task)
		return
	}
	if task.Spec.UntilCancelled {
		if task.State == TaskSucceeded || task.State == TaskFailed {
			c.t.Fatalf("%s runs until cancelled and is in state %d", task.ID, task.State)
		}
		return
	}
	if task.Failures > task.AllowedFailures || (task.Failures == task.AllowedFailures) != (task.State == TaskFailed) {
		c.t.Fatalf("%s: %d failures of %d allowed in state %d", task.ID, task.Failures, task.AllowedFailures, task.State)
	}
}

func (c *invariantChecker) checkTotals(runs int, used map[string]api.Resources, queues map[string]QueueCounts) {
	s := c.machine.state
	if runs != s.runs.total || runs != len(c.open) || len(s.jobs.byID) != len(s.jobs.sorted) {
		c.t.Fatalf("%d runs, %d counted, %d by events", runs, s.runs.total, len(c.open))
	}
	listed := 0
	for workerID, load := range s.runs.byWorkerID {
		for _, run := range load.runs {
			listed++
			if run.Task.Run != run || run.WorkerID != workerID {
				c.t.Fatalf("worker %s: run %v is listed and not open there", workerID, run.ID())
			}
		}
	}
	if listed != runs {
		c.t.Fatalf("%d runs are listed of %d", listed, runs)
	}
	for workerID, amount := range used {
		worker := s.workers.byID[workerID]
		if s.runs.used(workerID) != amount || worker == nil || !amount.Fits(worker.Capacity) {
			c.t.Fatalf("worker %s: used %v, counted %v", workerID, amount, s.runs.used(workerID))
		}
	}
	if len(used) != len(s.runs.byWorkerID) || len(queues) != len(s.counts.queues) {
		c.t.Fatal("a load or a queue is left over")
	}
	for name, counts := range queues {
		if *s.counts.queues[name] != counts {
			c.t.Fatalf("queue %s: %v, counted %v", name, counts, *s.counts.queues[name])
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
			c.t.Fatalf("team counted %v, expected %v", got, sum)
		}
	})
	if sum == (QueueCounts{}) && len(s.counts.teams) > 0 {
		c.t.Fatal("a team is left over")
	}
}

func (c *invariantChecker) checkJobsFound() {
	expired := c.machine.state.expiredBefore > 0
	c.machine.Read(func(v View) {
		for id := range c.accepted {
			if _, known, err := v.Status(id, nil); err != nil || (!known && !expired) {
				c.t.Fatalf("job %s was accepted and is not found: %v", id, err)
			}
		}
	})
}

// checkDrains compares the zones drained by commands with those commands alone, and
// those of the configuration with the accepted configurations alone.
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
			c.t.Fatalf("zones drained by orders are %v, expected %v", v.DrainedZones(), expected)
		}
		if _, config := v.Config(); !slices.Equal(config.Drains.Zones, c.drainedInConfig) {
			c.t.Fatalf("zones drained by the configuration are %v, expected %v", config.Drains.Zones, c.drainedInConfig)
		}
	})
}
