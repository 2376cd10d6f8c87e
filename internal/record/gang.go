package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// A gang is a step whose tasks, its members, start together. There are two kinds:
//
// A gang with Together starts together and then continues as single tasks: a member
// that fails is retried by itself. See GangSize.
//
// A gang with a common outcome (Lockstep in the API) stays one unit until it
// ends. All members are placed by one PlaceTasks with one run number. What ends
// the gang's newest run is the first end of a member that is applied:
//
//   - A success makes every member that is not final succeeded.
//   - Anything else interrupts the gang: the other members get StopGang, and the
//     gang waits until all of its runs are closed.
//
// The first failure that a member reports under a run number counts as one failure
// of the gang, whatever interrupted it; all others under that number count for
// nothing. Once its failures are used up, the gang fails when its last run is
// closed.
//
// Within one CloseRuns a success is applied before all other ends. A success that
// comes after the gang was interrupted still counts, unless the gang was placed
// again or has failed meanwhile. Runs that are open beyond a success take their
// resources until they are closed, and change nothing then.
//
// A gang with a common outcome one of whose members runs until cancelled has no
// success and no limit of failures: whatever ends a member interrupts the gang,
// and it runs again.

// IsGang reports whether the tasks of the step start together.
func (s *Step) IsGang() bool { return s.Spec.Together || s.Spec.Lockstep }

// SharesOutcome reports whether the step is a gang with a common outcome.
func (s *Step) SharesOutcome() bool { return s.Spec.Lockstep }

// GangSize is the number of members that must be placed in one PlaceTasks, or 0
// if a member of the step may be placed alone.
//
// A gang must be placed with all its members that are not final, unless some
// member has an open run that is not being stopped; then a member that is retried
// joins it alone. An open run with StopGang holds the whole step back until it is
// closed. So members wait together again after the gang was stopped, and a member
// that fails once all have started is retried by itself. A gang with a common
// outcome is always placed together.
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

// applyGangSuccesses applies the successes of gangs with a common outcome that
// one CloseRuns holds, before its other ends.
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

// succeedGang ends a gang whose newest run has succeeded. The runs of the other
// members that are still open are to be stopped: their work is not needed.
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

// succeedWithOpenRun makes a member succeeded whose run stays open until its own
// end is applied.
func (m *Machine) succeedWithOpenRun(member *Task) {
	member.Reason = ""
	m.state.setState(member, TaskSucceeded)
	m.taskFinished(member)
}

// stopPeerRun requests the stop of a run, unless it is the cause's own.
func (m *Machine) stopPeerRun(run *Run, cause *Task) {
	if run.Task != cause {
		m.requestStop(run, StopGang)
	}
}

// stopGangPeers follows the first end of a member's run that is no success, or a
// request to stop it: the other members of a gang with a common outcome must stop
// too. Once the gang is interrupted it changes nothing.
func (m *Machine) stopGangPeers(cause *Task, why string) {
	if !cause.Step.SharesOutcome() || cause.Step.Job.Cancelled {
		return
	}
	reason := gangMemberReason(cause, why)
	for _, member := range cause.Step.Tasks {
		if member == cause || member.Run == nil || member.State.Final() || member.Run.Stop != StopNone {
			continue
		}
		member.Reason = reason
		m.requestStop(member.Run, StopGang)
	}
}

// failGangIfExhausted fails a gang with a common outcome once its last run is
// closed and its failures are used up.
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

// failuresExhausted reports whether the gang has failed as often as the least
// tolerant of its members allows.
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

// countGangFailure counts the first failure under a run number as one of the
// gang, that is of each member, and sets when it may run again.
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
