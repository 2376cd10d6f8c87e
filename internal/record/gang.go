package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// A gang is a step whose tasks, the members, start together. There are two kinds.
//
// The members of a gang with Together are independent once they have started: a
// member that fails is retried alone. See GangSize.
//
// A gang with a common outcome (Lockstep in the API) is one unit until it ends. One
// PlaceTasks places all of its members under the same run number. The gang's newest
// run ends when the first end of a member's run is applied:
//
//   - A success moves every member that is not final to TaskSucceeded.
//   - Any other outcome interrupts the gang: the other members are stopped with
//     StopGang, and the gang waits until all of its runs are closed.
//
// The first failure that a member reports under a run number counts as one failure of
// the gang, whatever interrupted the gang; further failures under that number are not
// counted. Once no further failure is allowed, the gang fails when its last run
// closes.
//
// Within one CloseRuns, a success is applied before all other ends. A success reported
// after the gang was interrupted still counts, unless the gang has been placed again
// or has failed in the meantime. Runs still open after a success hold their resources
// until they are closed; closing them has no other effect.
//
// If any member of a gang with a common outcome runs until cancelled, the gang cannot
// succeed and its failures are not limited: any end of a member's run interrupts the
// gang, and the gang runs again.

// IsGang reports whether the tasks of the step must start together.
func (s *Step) IsGang() bool { return s.Spec.Together || s.Spec.Lockstep }

// SharesOutcome reports whether the step is a gang with a common outcome.
func (s *Step) SharesOutcome() bool { return s.Spec.Lockstep }

// GangSize returns the number of members that must be placed in one PlaceTasks, or 0
// if a task of the step may be placed alone.
//
// A gang must be placed with all of its members that are not final, except that a
// member may be retried alone while another member has an open run that is not being
// stopped. An open run with StopGang blocks the whole step until it is closed.
// Therefore the members start together again after the gang was stopped, and a
// member that fails after all have started is retried alone. A gang with a common
// outcome is always placed as a unit.
func (s *Step) GangSize() int {
	if !s.IsGang() {
		return 0
	}
	members, running, stopping := 0, false, false
	for _, task := range s.Tasks {
		if !task.State.Final() {
			members++
		}
		if task.Run != nil {
			running = running || task.Run.Stop == StopNone
			stopping = stopping || task.Run.Stop == StopGang
		}
	}
	if running && !stopping && !s.SharesOutcome() {
		return 0
	}
	return members
}

// runsUntilCancelled reports whether any task of the step runs until cancelled.
func (s *Step) runsUntilCancelled() bool {
	return slices.ContainsFunc(s.Tasks, func(task *Task) bool { return task.Spec.UntilCancelled })
}

// applyGangSuccesses completes the gangs with a common outcome of which a run
// succeeded, under the conditions of succeedGang. applyCloseRuns calls it before it
// closes any run.
func (m *Machine) applyGangSuccesses(ends []RunEnd) {
	for i := range ends {
		end := &ends[i]
		if end.Outcome != api.OutcomeSucceeded {
			continue
		}
		task := m.state.jobs.task(end.Run.Task)
		if task != nil && task.Step.SharesOutcome() {
			m.succeedGang(task, end.Run.Number)
		}
	}
}

// succeedGang completes a gang after a member succeeded in the gang's newest run. It
// requests a stop of the other members' open runs, whose work is no longer needed.
// It does nothing if number is not the newest run, if the member is final, or if the
// gang runs until cancelled.
func (m *Machine) succeedGang(task *Task, number uint32) {
	if number == 0 || number != task.LastRun || task.State.Final() || task.RunsUntilCancelled() {
		return
	}
	for _, member := range task.Step.Tasks {
		switch {
		case member.State.Final():
		case member.Run == nil:
			m.finishWithoutRun(member, TaskSucceeded, "")
		default:
			m.succeedWithOpenRun(member)
			m.stopPeerRun(member.Run, task)
		}
	}
}

// succeedWithOpenRun moves a member to TaskSucceeded while its run is open. The run
// stays open until its own end is applied.
func (m *Machine) succeedWithOpenRun(member *Task) {
	member.Reason = ""
	m.state.setState(member, TaskSucceeded)
	m.taskFinished(member)
}

// stopPeerRun requests a stop of a run, unless the run is the trigger's own.
func (m *Machine) stopPeerRun(run *Run, trigger *Task) {
	if run.Task != trigger {
		m.requestStop(run, StopGang)
	}
}

// stopGangPeers stops the other members of a gang with a common outcome after the
// run of trigger ended without success or got a stop request. Members that already
// have a stop request are skipped, so repeated calls change nothing.
func (m *Machine) stopGangPeers(trigger *Task, triggerReason string) {
	if !trigger.Step.SharesOutcome() || trigger.Step.Job.Cancelled {
		return
	}
	reason := gangMemberReason(trigger, triggerReason)
	for _, member := range trigger.Step.Tasks {
		if member == trigger || member.Run == nil || member.State.Final() || member.Run.Stop != StopNone {
			continue
		}
		member.Reason = reason
		m.requestStop(member.Run, StopGang)
	}
}

// failGangIfExhausted fails a gang with a common outcome if all of its runs are
// closed and no further failure is allowed.
func (m *Machine) failGangIfExhausted(step *Step) {
	if !step.SharesOutcome() || !step.failuresExhausted() {
		return
	}
	for _, member := range step.Tasks {
		if member.State.Final() || member.Run != nil {
			return
		}
	}
	for _, member := range step.Tasks {
		m.finishWithoutRun(member, TaskFailed, member.Reason)
	}
}

// failuresExhausted reports whether the gang has reached the lowest
// AllowedFailures of its members.
func (s *Step) failuresExhausted() bool {
	if s.runsUntilCancelled() {
		return false
	}
	for _, member := range s.Tasks {
		if member.Failures >= member.AllowedFailures {
			return true
		}
	}
	return false
}

// countGangFailure counts the first failure under a run number as a failure of the
// gang, that is, of each member, and sets the backoff before the next run.
func (m *Machine) countGangFailure(run *Run, end *RunEnd) {
	step := run.Task.Step
	if step.lastFailedRun == run.Number {
		return
	}
	step.lastFailedRun = run.Number
	run.Task.Reason = failureReason(end.Message)
	for _, member := range step.Tasks {
		member.countFailure(run, m.state.clock)
		member.NotBefore = max(member.NotBefore, m.state.clock+m.retryBackoff(member))
	}
}
