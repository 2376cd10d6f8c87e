package record

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
)

// A step in lockstep is one group for its whole life. All members are placed
// in one Place with one run number. What ends the group's newest run is the
// first end of a member that is applied:
//
//   - A success makes every member that is not final succeeded.
//   - Anything else breaks the group: the other members are marked StopGang,
//     and their ends, other than a success, count for nothing. A failure of a
//     member that was not to be stopped counts as one failure of the group, so
//     that there is at most one for each run number.
//
// In one Close a success comes before all other ends. A success that comes
// after the group was broken still wins, unless the group was placed anew or
// has failed for good meanwhile; that is decided when the last of its runs is
// closed. Runs that are open beyond a success keep their room until they are
// closed, and then change nothing.
//
// A group one of whose members runs until cancelled has no success and no limit
// of failures: whatever ends a member, the group is broken and runs again.

// IsGang reports whether the tasks of the step start together.
func (s *Step) IsGang() bool { return s.Spec.Together || s.Spec.Lockstep }

// GangSize is the number of members that must be placed in one Place, or 0
// if a member of the step may be placed alone.
//
// The rule: a step that is Together must be placed whole, which means all its
// members that are not final, unless some member has an open run that is not
// being stopped; then a member that is retried joins it alone. An open run
// marked StopGang holds the whole step back until it is closed. So members
// wait together again after a group stop, and a member that fails once all
// have started is retried by itself. A step in lockstep is always placed whole.
func (s *Step) GangSize() int {
	if !s.IsGang() {
		return 0
	}
	members, going, stopping := 0, false, false
	for _, task := range s.Tasks {
		if !task.State.Final() {
			members++
		}
		if task.Run != nil {
			going = going || task.Run.Stop == StopNone
			stopping = stopping || task.Run.Stop == StopGang
		}
	}
	if going && !stopping && !s.Spec.Lockstep {
		return 0
	}
	return members
}

// endless reports whether any task of the step runs until cancelled.
func (s *Step) runsUntilCancelled() bool {
	return slices.ContainsFunc(s.Tasks, func(task *Task) bool { return task.Spec.UntilCancelled })
}

// applyGangSuccesses lets the successes of one Close come before its other
// ends, for groups in lockstep.
func (m *Machine) applyGangSuccesses(ends []RunEnd) {
	for i := range ends {
		end := &ends[i]
		if end.Outcome != api.OutcomeSucceeded {
			continue
		}
		task := m.state.task(end.Run.Task)
		if task != nil && task.Step.Spec.Lockstep {
			m.succeedGang(task, end.Run.Number)
		}
	}
}

// succeedGang ends a group whose newest run has succeeded. The runs that
// are still open work for nothing and are marked to stop.
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

// succeedWithOpenRun makes a member succeeded whose run is open and stays so.
func (m *Machine) succeedWithOpenRun(member *Task) {
	member.Reason = ""
	m.state.setState(member, TaskSucceeded)
	m.taskFinished(member)
}

// stopPeerRun marks the run of another member to stop.
func (m *Machine) stopPeerRun(run *Run, cause *Task) {
	if run.Task != cause {
		m.requestStop(run, StopGang)
	}
}

// stopGangPeers follows the first end of a run of the group that is no success, or
// a mark to stop: the other members must stop. Once broken it changes nothing.
func (m *Machine) stopGangPeers(cause *Task, why string) {
	if !cause.Step.Spec.Lockstep || cause.Step.Job.Cancelled {
		return
	}
	reason := truncate(fmt.Sprintf("member %d: %s", cause.ID.Index, why), maxReasonBytes)
	for _, member := range cause.Step.Tasks {
		if member == cause || member.Run == nil || member.State.Final() || member.Run.Stop != StopNone {
			continue
		}
		member.Reason = reason
		m.requestStop(member.Run, StopGang)
	}
}

// failGangIfExhausted fails a group for good once its last run is closed and its
// failures are used up.
func (m *Machine) failGangIfExhausted(step *Step) {
	if !step.Spec.Lockstep || !step.failuresExhausted() {
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

// failuresExhausted reports whether the group has failed as often as the least
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
// group, and sets when it runs again.
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
