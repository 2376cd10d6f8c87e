package record

import (
	"bytes"
	"testing"

	"github.com/decklever/decklever/api"
)

// gangHarness has a job "j" whose step "a" is a group in lockstep, followed by
// a step "b".
type gangHarness struct {
	*harness
	members []TaskID
}

func newGangHarness(t *testing.T, members int) *gangHarness {
	r := &gangHarness{harness: newHarness(t)}
	r.register(testWorker("w1"), testWorker("w2"))
	group := stepSpec("a", members)
	group.Lockstep = true
	r.submit("j", group, stepSpec("b", 1, "a"))
	for i := range members {
		r.members = append(r.members, taskID("j", "a", i))
	}
	return r
}

// allMembers places every member with one number, in turn on both workers.
func (r *gangHarness) allMembers(number uint32) []Placement {
	var placements []Placement
	for i, member := range r.members {
		placements = append(placements, placementOn(member, number, []string{"w1", "w2"}[i%2]))
	}
	return placements
}

func (r *gangHarness) closeRuns(ends ...RunEnd) {
	r.t.Helper()
	r.apply(Command{CloseRuns: &CloseRuns{Runs: ends}})
}

func (r *gangHarness) end(member int, number uint32, outcome api.Outcome) RunEnd {
	return RunEnd{Run: RunID{Task: r.members[member], Number: number}, Outcome: outcome, Message: "why"}
}

// expectMembers checks the state and the failures of every member.
func (r *gangHarness) expectMembers(state TaskState, failures int) {
	r.t.Helper()
	for _, member := range r.members {
		task := r.task(member)
		if task.State != state || task.Failures != failures {
			r.t.Fatalf("%s: state %d with %d failures, want %d with %d", member, task.State, task.Failures, state, failures)
		}
	}
}

func TestGang_CommonOutcomePlacedWithOneRunNumber(t *testing.T) {
	r := newGangHarness(t, 3)
	r.mustRejectAll(r.allMembers(1)[:2]...)
	r.mustRejectAll(r.allMembers(2)...)
	unequal := r.allMembers(1)
	unequal[2].Run.Number = 2
	r.mustRejectAll(unequal...)
	r.mustPlace(r.allMembers(1)...)
	r.close(r.members[1], 1, api.OutcomeLost)
	r.mustRejectAll(placementOn(r.members[1], 2, "w1"))
	r.close(r.members[0], 1, api.OutcomeStopped)
	r.close(r.members[2], 1, api.OutcomeStopped)
	r.mustRejectAll(r.allMembers(1)...)
	r.mustPlace(r.allMembers(2)...)
}

func TestGang_MemberSuccessSucceedsAllMembers(t *testing.T) {
	r := newGangHarness(t, 3)
	r.mustPlace(r.allMembers(1)...)
	r.takeEvents()
	r.close(r.members[1], 1, api.OutcomeSucceeded)
	r.expectMembers(TaskSucceeded, 0)
	expect(t, "state of the next step", r.task(taskID("j", "b", 0)).State, TaskReady)
	r.machine.Read(func(v View) {
		expect(t, "room on w1", v.UsedResources("w1-1").CPUMillis, 2000)
		expect(t, "room on w2", v.UsedResources("w2-1").CPUMillis, 0)
		expect(t, "running tasks", v.QueueCounts(testQueue).RunningTasks, 2)
	})
	r.close(r.members[0], 1, api.OutcomeFailed)
	r.close(r.members[2], 1, api.OutcomeLost)
	r.expectMembers(TaskSucceeded, 0)
	r.machine.Read(func(v View) {
		expect(t, "room on w1 in the end", v.UsedResources("w1-1").CPUMillis, 0)
		expect(t, "running tasks in the end", v.QueueCounts(testQueue).RunningTasks, 0)
	})
	r.mustRejectAll(r.allMembers(2)...)
}

func TestGang_JobStaysLiveUntilLastRunCloses(t *testing.T) {
	r := &gangHarness{harness: newHarness(t), members: []TaskID{taskID("j", "a", 0), taskID("j", "a", 1)}}
	r.register(testWorker("w1"), testWorker("w2"))
	group := stepSpec("a", 2)
	group.Lockstep = true
	r.submit("j", group)
	r.mustPlace(r.allMembers(1)...)
	r.close(r.members[0], 1, api.OutcomeSucceeded)
	expect(t, "state", r.status("j").State, api.StateSucceeded)
	expect(t, "ended", r.status("j").EndedAt == nil, true)
	r.cancel("j")
	expect(t, "state after a late cancel", r.status("j").State, api.StateSucceeded)
	again := restored(t, snapshotBytes(t, r.machine), r.archive)
	if !bytes.Equal(snapshotBytes(t, r.machine), snapshotBytes(t, again)) {
		t.Fatal("a run that outlasts its group is not in the snapshot")
	}
	r.close(r.members[1], 1, api.OutcomeStopped)
	expect(t, "archived", r.status("j").Archived, true)
}

func TestGang_OneFailureCountedPerRunNumber(t *testing.T) {
	r := newGangHarness(t, 3)
	r.mustPlace(r.allMembers(1)...)
	r.takeEvents()
	r.closeRuns(r.end(0, 1, api.OutcomeFailed), r.end(1, 1, api.OutcomeFailed))
	expectEvents(t, r.harness, "closed j/a/0 failed", "ready j/a/0", "stopping j/a/1 group", "stopping j/a/2 group",
		"closed j/a/1 failed", "ready j/a/1")
	expect(t, "failures", r.task(r.members[2]).Failures, 1)
	r.close(r.members[2], 1, api.OutcomeFailed)
	r.expectMembers(TaskReady, 1)
	r.mustRejectAll(r.allMembers(2)...) // the pause before the retry
	r.now += 100_000
	r.mustPlace(r.allMembers(2)...)
	r.close(r.members[2], 2, api.OutcomeFailed)
	expect(t, "state until all are closed", r.status("j").State, api.StateRunning)
	r.close(r.members[0], 2, api.OutcomeStopped)
	r.close(r.members[1], 2, api.OutcomeStopped)
	expect(t, "state", r.status("j").State, api.StateFailed)
	expect(t, "reason of the member that failed", r.status("j").Steps[0].Tasks[2].Reason, "why")
	expect(t, "reason of another", r.status("j").Steps[0].Tasks[0].Reason, "member 2: why")
}

func TestGang_LossAndStopAreNoFailure(t *testing.T) {
	r := newGangHarness(t, 3)
	breakups := []func(number uint32){
		func(number uint32) { r.close(r.members[1], number, api.OutcomeLost) },
		func(number uint32) { r.close(r.members[1], number, api.OutcomeStopped) },
		func(uint32) { r.stop(StopPreempted, r.members[1]) },
		func(uint32) { r.stop(StopDrained, r.members[1]) },
		func(uint32) { r.stop(StopGang, r.members...) },
	}
	for i, breakup := range breakups {
		number := uint32(i + 1)
		r.mustPlace(r.allMembers(number)...)
		breakup(number)
		for _, member := range []int{0, 2} {
			expect(t, "mark to stop", r.task(r.members[member]).Run.Stop, StopGang)
		}
		for _, member := range r.members {
			r.close(member, number, api.OutcomeStopped)
		}
		r.expectMembers(TaskReady, 0)
	}
	expect(t, "preemptions", r.task(r.members[1]).Preemptions, 1)
}

// TestGang_FailureAfterLossCountsOnce: the group was broken by a loss, and then
// members report that they failed by themselves. That is one failure of the
// group, and a new leader does not count it again.
func TestGang_FailureAfterLossCountsOnce(t *testing.T) {
	r := newGangHarness(t, 4)
	r.mustPlace(r.allMembers(1)...)
	r.close(r.members[1], 1, api.OutcomeLost)
	r.close(r.members[0], 1, api.OutcomeFailed)
	r.expectFailures(1)
	r.machine = restored(t, snapshotBytes(t, r.machine), r.archive)
	r.close(r.members[2], 1, api.OutcomeFailed)
	r.close(r.members[3], 1, api.OutcomeStopped)
	r.expectMembers(TaskReady, 1)
	r.now += 100_000
	r.mustPlace(r.allMembers(2)...)
	r.close(r.members[3], 2, api.OutcomeFailed)
	r.expectFailures(2)
}

// expectFailures checks the failures of every member.
func (r *gangHarness) expectFailures(failures int) {
	r.t.Helper()
	for _, member := range r.members {
		if got := r.task(member).Failures; got != failures {
			r.t.Fatalf("%s has %d failures, want %d", member, got, failures)
		}
	}
}

func TestGang_SuccessWinsUntilNextPlacement(t *testing.T) {
	t.Run("with failures in one close", func(t *testing.T) {
		r := newGangHarness(t, 3)
		r.mustPlace(r.allMembers(1)...)
		r.closeRuns(r.end(0, 1, api.OutcomeFailed), r.end(2, 1, api.OutcomeSucceeded), r.end(1, 1, api.OutcomeFailed))
		r.expectMembers(TaskSucceeded, 0)
	})
	t.Run("after a failure", func(t *testing.T) {
		r := newGangHarness(t, 3)
		r.mustPlace(r.allMembers(1)...)
		r.close(r.members[0], 1, api.OutcomeFailed)
		r.close(r.members[1], 1, api.OutcomeSucceeded)
		r.expectMembers(TaskSucceeded, 1)
	})
	t.Run("of a closed run", func(t *testing.T) {
		r := newGangHarness(t, 2)
		r.mustPlace(r.allMembers(1)...)
		r.close(r.members[0], 1, api.OutcomeLost)
		r.close(r.members[1], 1, api.OutcomeLost)
		r.close(r.members[0], 1, api.OutcomeSucceeded)
		r.expectMembers(TaskSucceeded, 0)
	})
	t.Run("not after a newer placement", func(t *testing.T) {
		r := newGangHarness(t, 2)
		r.mustPlace(r.allMembers(1)...)
		r.close(r.members[0], 1, api.OutcomeLost)
		r.close(r.members[1], 1, api.OutcomeLost)
		r.mustPlace(r.allMembers(2)...)
		r.close(r.members[0], 1, api.OutcomeSucceeded)
		r.expectMembers(TaskPlaced, 0)
	})
	t.Run("not after it failed for good", func(t *testing.T) {
		r := newGangHarness(t, 2)
		once := 1
		group := stepSpec("a", 2)
		group.Lockstep = true
		group.Tasks[0].AllowedFailures = &once
		r.submit("k", group, stepSpec("c", 1))
		r.mustPlace(placementOn(taskID("k", "a", 0), 1, "w1"), placementOn(taskID("k", "a", 1), 1, "w2"))
		r.close(taskID("k", "a", 1), 1, api.OutcomeFailed)
		r.close(taskID("k", "a", 0), 1, api.OutcomeStopped)
		r.close(taskID("k", "a", 0), 1, api.OutcomeSucceeded)
		expect(t, "state", r.task(taskID("k", "a", 0)).State, TaskFailed)
	})
}

func TestGang_CancelEndsOnceAllRunsClose(t *testing.T) {
	r := newGangHarness(t, 3)
	r.mustPlace(r.allMembers(1)...)
	r.close(r.members[0], 1, api.OutcomeLost)
	r.cancel("j")
	r.close(r.members[1], 1, api.OutcomeFailed)
	expect(t, "archived early", r.status("j").Archived, false)
	r.close(r.members[2], 1, api.OutcomeStopped)
	expect(t, "state", r.status("j").State, api.StateCancelled)
	expect(t, "archived", r.status("j").Archived, true)
}

func TestGang_UntilCancelledRestartsAfterEveryOutcome(t *testing.T) {
	r := newGangHarness(t, 2)
	group := stepSpec("a", 2)
	group.Lockstep = true
	group.Tasks[1].UntilCancelled = true
	r.submit("k", group)
	r.members = []TaskID{taskID("k", "a", 0), taskID("k", "a", 1)}
	outcomes := []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeLost}
	for i, outcome := range outcomes {
		number := uint32(i + 1)
		r.now += 100_000
		r.mustPlace(r.allMembers(number)...)
		r.close(r.members[0], number, outcome)
		expect(t, "mark to stop", r.task(r.members[1]).Run.Stop, StopGang)
		r.close(r.members[1], number, api.OutcomeSucceeded)
	}
	r.expectMembers(TaskReady, 3)
}

func TestGang_OccurrenceStaysLiveWhileRunOpen(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	group := stepSpec("a", 2)
	group.Lockstep = true
	r.submitSpec("j", repeatingJob(2, 2000, group))
	r.now = 2000
	first, second := occurrenceTaskID("j", "a", 0, 0), occurrenceTaskID("j", "a", 1, 0)
	r.mustPlace(placementOn(first, 1, "w1"), placementOn(second, 1, "w1"))
	r.close(first, 1, api.OutcomeSucceeded)
	expect(t, "open runs", r.task(second).Run != nil, true)
	r.close(second, 1, api.OutcomeStopped)
	got := r.status("j")
	expect(t, "state", got.State, api.StateRunning)
	expect(t, "succeeded occurrences", got.Occurrences.Succeeded, 1)
}
