package record

// recordFailedRun counts the failed runs of a gang by their numbers.
func (c *invariantChecker) recordFailedRun(run *Run) {
	step := run.Task.Step
	isFirst := run.Task.RunsUntilCancelled() && c.machine.state.clock-run.PlacedAt >= failureResetAfter
	if c.failedRuns[step] == nil || isFirst && !c.failedRuns[step][run.Number] {
		c.failedRuns[step] = make(map[uint32]bool)
	}
	c.failedRuns[step][run.Number] = true
}

// checkGangMember checks a member of a gang with a common outcome against the
// others.
func (c *invariantChecker) checkGangMember(task *Task) {
	allowed := lowestAllowedFailures(task.Step)
	outOfFailures := task.Failures == allowed
	if task.RunsUntilCancelled() {
		outOfFailures = false
		if task.State == TaskSucceeded || task.State == TaskFailed {
			c.t.Fatalf("%s has no end of its own and is in state %d", task.ID, task.State)
		}
	} else if task.Failures > allowed || (task.State == TaskFailed && !outOfFailures) {
		c.t.Fatalf("%s: %d failures of %d allowed in state %d", task.ID, task.Failures, allowed, task.State)
	}
	gang := gangCountsOf(task.Step)
	if gang.open == 0 && outOfFailures && !task.State.Final() {
		c.t.Fatalf("%s: its gang is out of failures and waits", task.ID)
	}
	if !task.Step.Job.Cancelled && gang.open < gang.placedBefore && gang.notStopping > 0 {
		c.t.Fatalf("%s: a member was closed and others may go on", task.ID)
	}
	first := task.Step.Tasks[0]
	cancelled := task.Step.Job.Cancelled
	if task.Failures != first.Failures || task.LastRun != first.LastRun || (!cancelled && task.State.Final() != first.State.Final()) {
		c.t.Fatalf("%s differs from the first of its gang", task.ID)
	}
	if failed := len(c.failedRuns[task.Step]); task.Failures != failed {
		c.t.Fatalf("%s: %d failures, %d runs of the gang failed", task.ID, task.Failures, failed)
	}
}

// lowestAllowedFailures is the limit of failures of a gang: that of its least
// tolerant member.
func lowestAllowedFailures(step *Step) int {
	least := step.Tasks[0].AllowedFailures
	for _, member := range step.Tasks {
		least = min(least, member.AllowedFailures)
	}
	return least
}

// gangCounts counts the members of a gang with a common outcome.
type gangCounts struct {
	// open have an open run, notStopping one that is not to be stopped, and
	// placedBefore are not final and were placed before.
	open, notStopping, placedBefore int
}

func gangCountsOf(step *Step) gangCounts {
	var counts gangCounts
	for _, member := range step.Tasks {
		if !member.State.Final() && member.LastRun > 0 {
			counts.placedBefore++
		}
		if member.Run == nil {
			continue
		}
		counts.open++
		if member.Run.Stop == StopNone {
			counts.notStopping++
		}
	}
	return counts
}
