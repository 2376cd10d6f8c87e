package record

import (
	"bytes"
	"testing"

	"github.com/decklever/decklever/api"
)

// gangHarness has a job "j" whose step "a" is a gang with a common outcome. Step "b"
// depends on it.
type gangHarness struct {
	*harness
	members []TaskID
}

func newGangHarness(t *testing.T, members int) *gangHarness {
	t.Helper()
	h := &gangHarness{harness: newHarness(t)}
	h.register(testWorker("w1"), testWorker("w2"))
	gang := stepSpec("a", members)
	gang.Lockstep = true
	h.submit("j", gang, stepSpec("b", 1, "a"))
	for i := range members {
		h.members = append(h.members, taskID("j", "a", i))
	}
	return h
}

// allMembers returns a placement of every member under one run number, alternating
// between the two workers.
func (h *gangHarness) allMembers(number uint32) []Placement {
	var placements []Placement
	for i, member := range h.members {
		placements = append(placements, placementOn(member, number, []string{"w1", "w2"}[i%2]))
	}
	return placements
}

func (h *gangHarness) closeRuns(ends ...RunEnd) {
	h.t.Helper()
	h.apply(Command{CloseRuns: &CloseRuns{Runs: ends}})
}

func (h *gangHarness) end(member int, number uint32, outcome api.Outcome) RunEnd {
	return RunEnd{Run: RunID{Task: h.members[member], Number: number}, Outcome: outcome, Message: "why"}
}

// expectMembers checks the state and the failures of every member.
func (h *gangHarness) expectMembers(state TaskState, failures int) {
	h.t.Helper()
	for _, member := range h.members {
		task := h.task(member)
		if task.State != state || task.Failures != failures {
			h.t.Fatalf("%s: got state %d with %d failures, want state %d with %d failures", member, task.State, task.Failures, state, failures)
		}
	}
}

func TestGang_CommonOutcomePlacedWithOneRunNumber(t *testing.T) {
	h := newGangHarness(t, 3)
	h.mustRejectAll(h.allMembers(1)[:2]...)
	h.mustRejectAll(h.allMembers(2)...)
	mismatched := h.allMembers(1)
	mismatched[2].Run.Number = 2
	h.mustRejectAll(mismatched...)
	h.mustPlace(h.allMembers(1)...)
	h.close(h.members[1], 1, api.OutcomeLost)
	h.mustRejectAll(placementOn(h.members[1], 2, "w1"))
	h.close(h.members[0], 1, api.OutcomeStopped)
	h.close(h.members[2], 1, api.OutcomeStopped)
	h.mustRejectAll(h.allMembers(1)...)
	h.mustPlace(h.allMembers(2)...)
}

func TestGang_MemberSuccessSucceedsAllMembers(t *testing.T) {
	h := newGangHarness(t, 3)
	h.mustPlace(h.allMembers(1)...)
	h.takeEvents()
	h.close(h.members[1], 1, api.OutcomeSucceeded)
	h.expectMembers(TaskSucceeded, 0)
	expect(t, "state of the next step", h.task(taskID("j", "b", 0)).State, TaskReady)
	h.machine.Read(func(v View) {
		expect(t, "resources used on w1", v.UsedResources("w1-1").CPUMillis, 2000)
		expect(t, "resources used on w2", v.UsedResources("w2-1").CPUMillis, 0)
		expect(t, "running tasks", v.QueueCounts(testQueue).RunningTasks, 2)
	})
	h.close(h.members[0], 1, api.OutcomeFailed)
	h.close(h.members[2], 1, api.OutcomeLost)
	h.expectMembers(TaskSucceeded, 0)
	h.machine.Read(func(v View) {
		expect(t, "resources used on w1 after all runs closed", v.UsedResources("w1-1").CPUMillis, 0)
		expect(t, "running tasks after all runs closed", v.QueueCounts(testQueue).RunningTasks, 0)
	})
	h.mustRejectAll(h.allMembers(2)...)
}

func TestGang_JobStaysLiveUntilLastRunCloses(t *testing.T) {
	h := &gangHarness{harness: newHarness(t), members: []TaskID{taskID("j", "a", 0), taskID("j", "a", 1)}}
	h.register(testWorker("w1"), testWorker("w2"))
	gang := stepSpec("a", 2)
	gang.Lockstep = true
	h.submit("j", gang)
	h.mustPlace(h.allMembers(1)...)
	h.close(h.members[0], 1, api.OutcomeSucceeded)
	expect(t, "state", h.status("j").State, api.StateSucceeded)
	expect(t, "job has no end time", h.status("j").EndedAt == nil, true)
	h.cancel("j")
	expect(t, "state after a late cancel", h.status("j").State, api.StateSucceeded)
	restoredMachine := restoreMachine(t, snapshotBytes(t, h.machine), h.archive)
	if !bytes.Equal(snapshotBytes(t, h.machine), snapshotBytes(t, restoredMachine)) {
		t.Fatal("snapshot of the restored machine differs while a run of the succeeded gang is open")
	}
	h.close(h.members[1], 1, api.OutcomeStopped)
	expect(t, "archived", h.status("j").Archived, true)
}

func TestGang_OneFailureCountedPerRunNumber(t *testing.T) {
	h := newGangHarness(t, 3)
	h.mustPlace(h.allMembers(1)...)
	h.takeEvents()
	h.closeRuns(h.end(0, 1, api.OutcomeFailed), h.end(1, 1, api.OutcomeFailed))
	expectEvents(t, h.harness, "closed j/a/0 failed", "ready j/a/0", "stopping j/a/1 group", "stopping j/a/2 group",
		"closed j/a/1 failed", "ready j/a/1")
	expect(t, "failures of a member with an open run", h.task(h.members[2]).Failures, 1)
	h.close(h.members[2], 1, api.OutcomeFailed)
	h.expectMembers(TaskReady, 1)
	h.mustRejectAll(h.allMembers(2)...) // the backoff before the retry
	h.now += 100_000
	h.mustPlace(h.allMembers(2)...)
	h.close(h.members[2], 2, api.OutcomeFailed)
	expect(t, "state while runs are open", h.status("j").State, api.StateRunning)
	h.close(h.members[0], 2, api.OutcomeStopped)
	h.close(h.members[1], 2, api.OutcomeStopped)
	expect(t, "state", h.status("j").State, api.StateFailed)
	expect(t, "reason of the member that failed", h.status("j").Steps[0].Tasks[2].Reason, "why")
	expect(t, "reason of another member", h.status("j").Steps[0].Tasks[0].Reason, "member 2: why")
}

func TestGang_LostAndStoppedRunsNotCountedAsFailures(t *testing.T) {
	h := newGangHarness(t, 3)
	interruptions := []func(number uint32){
		func(number uint32) { h.close(h.members[1], number, api.OutcomeLost) },
		func(number uint32) { h.close(h.members[1], number, api.OutcomeStopped) },
		func(uint32) { h.stop(StopPreempted, h.members[1]) },
		func(uint32) { h.stop(StopDrained, h.members[1]) },
		func(uint32) { h.stop(StopGang, h.members...) },
	}
	for i, interrupt := range interruptions {
		number := uint32(i + 1)
		h.mustPlace(h.allMembers(number)...)
		interrupt(number)
		for _, member := range []int{0, 2} {
			expect(t, "stop reason", h.task(h.members[member]).Run.Stop, StopGang)
		}
		for _, member := range h.members {
			h.close(member, number, api.OutcomeStopped)
		}
		h.expectMembers(TaskReady, 0)
	}
	expect(t, "preemptions", h.task(h.members[1]).Preemptions, 1)
}

// TestGang_FailureAfterLossCountsOnce guards against counting several failures for one
// run of a gang: a lost run interrupts the gang, and then members report failures.
// They count as one failure, also after a restore from a snapshot.
func TestGang_FailureAfterLossCountsOnce(t *testing.T) {
	h := newGangHarness(t, 4)
	h.mustPlace(h.allMembers(1)...)
	h.close(h.members[1], 1, api.OutcomeLost)
	h.close(h.members[0], 1, api.OutcomeFailed)
	h.expectFailures(1)
	h.machine = restoreMachine(t, snapshotBytes(t, h.machine), h.archive)
	h.close(h.members[2], 1, api.OutcomeFailed)
	h.close(h.members[3], 1, api.OutcomeStopped)
	h.expectMembers(TaskReady, 1)
	h.now += 100_000
	h.mustPlace(h.allMembers(2)...)
	h.close(h.members[3], 2, api.OutcomeFailed)
	h.expectFailures(2)
}

// expectFailures checks the failures of every member.
func (h *gangHarness) expectFailures(failures int) {
	h.t.Helper()
	for _, member := range h.members {
		if got := h.task(member).Failures; got != failures {
			h.t.Fatalf("%s: got %d failures, want %d", member, got, failures)
		}
	}
}

func TestGang_SuccessWinsUntilNextPlacement(t *testing.T) {
	t.Run("success and failures in one CloseRuns", func(t *testing.T) {
		h := newGangHarness(t, 3)
		h.mustPlace(h.allMembers(1)...)
		h.closeRuns(h.end(0, 1, api.OutcomeFailed), h.end(2, 1, api.OutcomeSucceeded), h.end(1, 1, api.OutcomeFailed))
		h.expectMembers(TaskSucceeded, 0)
	})
	t.Run("success after a failure", func(t *testing.T) {
		h := newGangHarness(t, 3)
		h.mustPlace(h.allMembers(1)...)
		h.close(h.members[0], 1, api.OutcomeFailed)
		h.close(h.members[1], 1, api.OutcomeSucceeded)
		h.expectMembers(TaskSucceeded, 1)
	})
	t.Run("late success of a closed run", func(t *testing.T) {
		h := newGangHarness(t, 2)
		h.mustPlace(h.allMembers(1)...)
		h.close(h.members[0], 1, api.OutcomeLost)
		h.close(h.members[1], 1, api.OutcomeLost)
		h.close(h.members[0], 1, api.OutcomeSucceeded)
		h.expectMembers(TaskSucceeded, 0)
	})
	t.Run("late success after a newer placement", func(t *testing.T) {
		h := newGangHarness(t, 2)
		h.mustPlace(h.allMembers(1)...)
		h.close(h.members[0], 1, api.OutcomeLost)
		h.close(h.members[1], 1, api.OutcomeLost)
		h.mustPlace(h.allMembers(2)...)
		h.close(h.members[0], 1, api.OutcomeSucceeded)
		h.expectMembers(TaskPlaced, 0)
	})
	t.Run("late success after the gang failed", func(t *testing.T) {
		h := newGangHarness(t, 2)
		one := 1
		gang := stepSpec("a", 2)
		gang.Lockstep = true
		gang.Tasks[0].AllowedFailures = &one
		h.submit("k", gang, stepSpec("c", 1))
		h.mustPlace(placementOn(taskID("k", "a", 0), 1, "w1"), placementOn(taskID("k", "a", 1), 1, "w2"))
		h.close(taskID("k", "a", 1), 1, api.OutcomeFailed)
		h.close(taskID("k", "a", 0), 1, api.OutcomeStopped)
		h.close(taskID("k", "a", 0), 1, api.OutcomeSucceeded)
		expect(t, "state", h.task(taskID("k", "a", 0)).State, TaskFailed)
	})
}

func TestGang_CancelEndsOnceAllRunsClose(t *testing.T) {
	h := newGangHarness(t, 3)
	h.mustPlace(h.allMembers(1)...)
	h.close(h.members[0], 1, api.OutcomeLost)
	h.cancel("j")
	h.close(h.members[1], 1, api.OutcomeFailed)
	expect(t, "archived while a run is open", h.status("j").Archived, false)
	h.close(h.members[2], 1, api.OutcomeStopped)
	expect(t, "state", h.status("j").State, api.StateCancelled)
	expect(t, "archived", h.status("j").Archived, true)
}

func TestGang_UntilCancelledRestartsAfterEveryOutcome(t *testing.T) {
	h := newGangHarness(t, 2)
	gang := stepSpec("a", 2)
	gang.Lockstep = true
	gang.Tasks[1].UntilCancelled = true
	h.submit("k", gang)
	h.members = []TaskID{taskID("k", "a", 0), taskID("k", "a", 1)}
	outcomes := []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeLost}
	for i, outcome := range outcomes {
		number := uint32(i + 1)
		h.now += 100_000
		h.mustPlace(h.allMembers(number)...)
		h.close(h.members[0], number, outcome)
		expect(t, "stop reason", h.task(h.members[1]).Run.Stop, StopGang)
		h.close(h.members[1], number, api.OutcomeSucceeded)
	}
	h.expectMembers(TaskReady, 3)
}

func TestGang_OccurrenceStaysLiveWhileRunOpen(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	gang := stepSpec("a", 2)
	gang.Lockstep = true
	h.submitSpec("j", repeatingJob(2, 2000, gang))
	h.now = 2000
	first, second := occurrenceTaskID("j", "a", 0, 0), occurrenceTaskID("j", "a", 1, 0)
	h.mustPlace(placementOn(first, 1, "w1"), placementOn(second, 1, "w1"))
	h.close(first, 1, api.OutcomeSucceeded)
	expect(t, "second member has an open run", h.task(second).Run != nil, true)
	h.close(second, 1, api.OutcomeStopped)
	got := h.status("j")
	expect(t, "state", got.State, api.StateRunning)
	expect(t, "succeeded occurrences", got.Occurrences.Succeeded, 1)
}
