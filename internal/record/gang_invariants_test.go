package record

// recordFailedRun records the number of a failed run of a step. The failure of a long
// run of a task that runs until cancelled starts a new count.
func (c *invariantChecker) recordFailedRun(run *Run) {
	step := run.Task.Step
	resetsCount := run.Task.RunsUntilCancelled() && c.machine.state.clock-run.PlacedAt >= failureResetAfter
	if c.failedRuns[step] == nil || resetsCount && !c.failedRuns[step][run.Number] {
		c.failedRuns[step] = make(map[uint32]bool)
	}
	c.failedRuns[step][run.Number] = true
}

// checkGangMember checks a member of a gang with a common outcome against the other
// members.
func (c *invariantChecker) checkGangMember(task *Task) {
	allowed := lowestAllowedFailures(task.Step)
	exhausted := task.Failures == allowed
	if task.RunsUntilCancelled() {
		exhausted = false
		if task.State == TaskSucceeded || task.State == TaskFailed {
			c.t.Fatalf("%s runs until cancelled but is in state %d", task.ID, task.State)
		}
	} else if task.Failures > allowed || (task.State == TaskFailed && !exhausted) {
		c.t.Fatalf("%s: got %d failures of %d allowed in state %d", task.ID, task.Failures, allowed, task.State)
	}
	gang := gangCountsOf(task.Step)
	if gang.openRuns == 0 && exhausted && !task.State.Final() {
		c.t.Fatalf("%s: the gang has reached its failure limit and has no open run, but is not final", task.ID)
	}
	if !task.Step.Job.Cancelled && gang.openRuns < gang.previouslyPlaced && gang.notStopping > 0 {
		c.t.Fatalf("%s: a member's run was closed, but other runs of the gang have no stop request", task.ID)
	}
	first := task.Step.Tasks[0]
	cancelled := task.Step.Job.Cancelled
	if task.Failures != first.Failures || task.LastRun != first.LastRun || (!cancelled && task.State.Final() != first.State.Final()) {
		c.t.Fatalf("%s differs from the first member of its gang in failures, last run or being final", task.ID)
	}
	if failed := len(c.failedRuns[task.Step]); task.Failures != failed {
		c.t.Fatalf("%s: got %d failures, want %d, the failed runs of the gang", task.ID, task.Failures, failed)
	}
}

// lowestAllowedFailures returns the failure limit of a gang, which is the lowest of
// its members.
func lowestAllowedFailures(step *Step) int {
	lowest := step.Tasks[0].AllowedFailures
	for _, member := range step.Tasks {
		lowest = min(lowest, member.AllowedFailures)
	}
	return lowest
}

// gangCounts counts the members of a gang with a common outcome.
type gangCounts struct {
	// openRuns counts members with an open run, notStopping those whose open run
	// has no stop request, and previouslyPlaced those that are not final and were
	// placed before.
	openRuns, notStopping, previouslyPlaced int
}

func gangCountsOf(step *Step) gangCounts {
	var counts gangCounts
	for _, member := range step.Tasks {
		if !member.State.Final() && member.LastRun > 0 {
			counts.previouslyPlaced++
		}
		if member.Run == nil {
			continue
		}
		counts.openRuns++
		if member.Run.Stop == StopNone {
			counts.notStopping++
		}
	}
	return counts
}
