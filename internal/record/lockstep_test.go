package record

import (
	"bytes"
	"testing"

	"github.com/decklever/decklever/api"
)

// lockstepRig has a job "j" whose step "a" is a group in lockstep, followed by
// a step "b".
type lockstepRig struct {
	*rig
	members []TaskID
}

func newLockstepRig(t *testing.T, members int) *lockstepRig {
	r := &lockstepRig{rig: newRig(t)}
	r.register(testWorker("w1"), testWorker("w2"))
	group := step("a", members)
	group.Lockstep = true
	r.submit("j", group, step("b", 1, "a"))
	for i := range members {
		r.members = append(r.members, id("j", "a", i))
	}
	return r
}

// whole places every member with one number, in turn on both workers.
func (r *lockstepRig) whole(number uint32) []Placement {
	var placements []Placement
	for i, member := range r.members {
		placements = append(placements, onWorker(member, number, []string{"w1", "w2"}[i%2]))
	}
	return placements
}

func (r *lockstepRig) closeAll(ends ...RunEnd) {
	r.t.Helper()
	r.apply(Command{Close: &Close{Runs: ends}})
}

func (r *lockstepRig) end(member int, number uint32, outcome api.Outcome) RunEnd {
	return RunEnd{Run: RunID{Task: r.members[member], Number: number}, Outcome: outcome, Message: "why"}
}

// wantGroup checks the state and the failures of every member.
func (r *lockstepRig) wantGroup(state TaskState, failures int) {
	r.t.Helper()
	for _, member := range r.members {
		task := r.task(member)
		if task.State != state || task.Failures != failures {
			r.t.Fatalf("%s: state %d with %d failures, want %d with %d", member, task.State, task.Failures, state, failures)
		}
	}
}

func TestLockstepIsPlacedWholeWithOneNumber(t *testing.T) {
	r := newLockstepRig(t, 3)
	r.mustReject(r.whole(1)[:2]...)
	r.mustReject(r.whole(2)...)
	unequal := r.whole(1)
	unequal[2].Run.Number = 2
	r.mustReject(unequal...)
	r.mustPlace(r.whole(1)...)
	r.close(r.members[1], 1, api.OutcomeLost)
	r.mustReject(onWorker(r.members[1], 2, "w1"))
	r.close(r.members[0], 1, api.OutcomeStopped)
	r.close(r.members[2], 1, api.OutcomeStopped)
	r.mustReject(r.whole(1)...)
	r.mustPlace(r.whole(2)...)
}

func TestLockstepSuccessOfOneIsTheSuccessOfAll(t *testing.T) {
	r := newLockstepRig(t, 3)
	r.mustPlace(r.whole(1)...)
	r.takeEvents()
	r.close(r.members[1], 1, api.OutcomeSucceeded)
	r.wantGroup(TaskSucceeded, 0)
	expect(t, "state of the next step", r.task(id("j", "b", 0)).State, TaskReady)
	r.machine.Read(func(v View) {
		expect(t, "room on w1", v.Used("w1-1").CPUMillis, 2000)
		expect(t, "room on w2", v.Used("w2-1").CPUMillis, 0)
		expect(t, "running tasks", v.QueueCounts(testQueue).RunningTasks, 2)
	})
	r.close(r.members[0], 1, api.OutcomeFailed)
	r.close(r.members[2], 1, api.OutcomeLost)
	r.wantGroup(TaskSucceeded, 0)
	r.machine.Read(func(v View) {
		expect(t, "room on w1 in the end", v.Used("w1-1").CPUMillis, 0)
		expect(t, "running tasks in the end", v.QueueCounts(testQueue).RunningTasks, 0)
	})
	r.mustReject(r.whole(2)...)
}

func TestLockstepJobStaysUntilItsLastRunIsClosed(t *testing.T) {
	r := &lockstepRig{rig: newRig(t), members: []TaskID{id("j", "a", 0), id("j", "a", 1)}}
	r.register(testWorker("w1"), testWorker("w2"))
	group := step("a", 2)
	group.Lockstep = true
	r.submit("j", group)
	r.mustPlace(r.whole(1)...)
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

func TestLockstepCountsOneFailureForEachRunOfTheGroup(t *testing.T) {
	r := newLockstepRig(t, 3)
	r.mustPlace(r.whole(1)...)
	r.takeEvents()
	r.closeAll(r.end(0, 1, api.OutcomeFailed), r.end(1, 1, api.OutcomeFailed))
	expectEvents(t, r.rig, "closed j/a/0 failed", "ready j/a/0", "stopping j/a/1 group", "stopping j/a/2 group",
		"closed j/a/1 failed", "ready j/a/1")
	expect(t, "failures", r.task(r.members[2]).Failures, 1)
	r.close(r.members[2], 1, api.OutcomeFailed)
	r.wantGroup(TaskReady, 1)
	r.mustReject(r.whole(2)...) // the pause before the retry
	r.now += 100_000
	r.mustPlace(r.whole(2)...)
	r.close(r.members[2], 2, api.OutcomeFailed)
	expect(t, "state until all are closed", r.status("j").State, api.StateRunning)
	r.close(r.members[0], 2, api.OutcomeStopped)
	r.close(r.members[1], 2, api.OutcomeStopped)
	expect(t, "state", r.status("j").State, api.StateFailed)
	expect(t, "reason of the member that failed", r.status("j").Steps[0].Tasks[2].Reason, "why")
	expect(t, "reason of another", r.status("j").Steps[0].Tasks[0].Reason, "member 2: why")
}

func TestLockstepLossAndStopCountNoFailure(t *testing.T) {
	r := newLockstepRig(t, 3)
	breakups := []func(number uint32){
		func(number uint32) { r.close(r.members[1], number, api.OutcomeLost) },
		func(number uint32) { r.close(r.members[1], number, api.OutcomeStopped) },
		func(uint32) { r.stop(StopPreempted, r.members[1]) },
		func(uint32) { r.stop(StopDrained, r.members[1]) },
		func(uint32) { r.stop(StopGroup, r.members...) },
	}
	for i, breakup := range breakups {
		number := uint32(i + 1)
		r.mustPlace(r.whole(number)...)
		breakup(number)
		for _, member := range []int{0, 2} {
			expect(t, "mark to stop", r.task(r.members[member]).Run.Stop, StopGroup)
		}
		for _, member := range r.members {
			r.close(member, number, api.OutcomeStopped)
		}
		r.wantGroup(TaskReady, 0)
	}
	expect(t, "preemptions", r.task(r.members[1]).Preemptions, 1)
}

// TestLockstepFailureAfterALossCounts: the group was broken by a loss, and then
// members report that they failed by themselves. That is one failure of the
// group, and a new leader does not count it again.
func TestLockstepFailureAfterALossCounts(t *testing.T) {
	r := newLockstepRig(t, 4)
	r.mustPlace(r.whole(1)...)
	r.close(r.members[1], 1, api.OutcomeLost)
	r.close(r.members[0], 1, api.OutcomeFailed)
	r.wantFailures(1)
	r.machine = restored(t, snapshotBytes(t, r.machine), r.archive)
	r.close(r.members[2], 1, api.OutcomeFailed)
	r.close(r.members[3], 1, api.OutcomeStopped)
	r.wantGroup(TaskReady, 1)
	r.now += 100_000
	r.mustPlace(r.whole(2)...)
	r.close(r.members[3], 2, api.OutcomeFailed)
	r.wantFailures(2)
}

// wantFailures checks the failures of every member.
func (r *lockstepRig) wantFailures(failures int) {
	r.t.Helper()
	for _, member := range r.members {
		if got := r.task(member).Failures; got != failures {
			r.t.Fatalf("%s has %d failures, want %d", member, got, failures)
		}
	}
}

func TestLockstepSuccessWinsUntilTheGroupIsPlacedAnew(t *testing.T) {
	t.Run("with failures in one close", func(t *testing.T) {
		r := newLockstepRig(t, 3)
		r.mustPlace(r.whole(1)...)
		r.closeAll(r.end(0, 1, api.OutcomeFailed), r.end(2, 1, api.OutcomeSucceeded), r.end(1, 1, api.OutcomeFailed))
		r.wantGroup(TaskSucceeded, 0)
	})
	t.Run("after a failure", func(t *testing.T) {
		r := newLockstepRig(t, 3)
		r.mustPlace(r.whole(1)...)
		r.close(r.members[0], 1, api.OutcomeFailed)
		r.close(r.members[1], 1, api.OutcomeSucceeded)
		r.wantGroup(TaskSucceeded, 1)
	})
	t.Run("of a closed run", func(t *testing.T) {
		r := newLockstepRig(t, 2)
		r.mustPlace(r.whole(1)...)
		r.close(r.members[0], 1, api.OutcomeLost)
		r.close(r.members[1], 1, api.OutcomeLost)
		r.close(r.members[0], 1, api.OutcomeSucceeded)
		r.wantGroup(TaskSucceeded, 0)
	})
	t.Run("not after a newer placement", func(t *testing.T) {
		r := newLockstepRig(t, 2)
		r.mustPlace(r.whole(1)...)
		r.close(r.members[0], 1, api.OutcomeLost)
		r.close(r.members[1], 1, api.OutcomeLost)
		r.mustPlace(r.whole(2)...)
		r.close(r.members[0], 1, api.OutcomeSucceeded)
		r.wantGroup(TaskPlaced, 0)
	})
	t.Run("not after it failed for good", func(t *testing.T) {
		r := newLockstepRig(t, 2)
		once := 1
		group := step("a", 2)
		group.Lockstep = true
		group.Tasks[0].AllowedFailures = &once
		r.submit("k", group, step("c", 1))
		r.mustPlace(onWorker(id("k", "a", 0), 1, "w1"), onWorker(id("k", "a", 1), 1, "w2"))
		r.close(id("k", "a", 1), 1, api.OutcomeFailed)
		r.close(id("k", "a", 0), 1, api.OutcomeStopped)
		r.close(id("k", "a", 0), 1, api.OutcomeSucceeded)
		expect(t, "state", r.task(id("k", "a", 0)).State, TaskFailed)
	})
}

func TestLockstepCancel(t *testing.T) {
	r := newLockstepRig(t, 3)
	r.mustPlace(r.whole(1)...)
	r.close(r.members[0], 1, api.OutcomeLost)
	r.cancel("j")
	r.close(r.members[1], 1, api.OutcomeFailed)
	expect(t, "archived early", r.status("j").Archived, false)
	r.close(r.members[2], 1, api.OutcomeStopped)
	expect(t, "state", r.status("j").State, api.StateCancelled)
	expect(t, "archived", r.status("j").Archived, true)
}

func TestLockstepUntilCancelledGoesBackWholeHoweverItEnds(t *testing.T) {
	r := newLockstepRig(t, 2)
	group := step("a", 2)
	group.Lockstep = true
	group.Tasks[1].UntilCancelled = true
	r.submit("k", group)
	r.members = []TaskID{id("k", "a", 0), id("k", "a", 1)}
	outcomes := []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeFailed, api.OutcomeLost}
	for i, outcome := range outcomes {
		number := uint32(i + 1)
		r.now += 100_000
		r.mustPlace(r.whole(number)...)
		r.close(r.members[0], number, outcome)
		expect(t, "mark to stop", r.task(r.members[1]).Run.Stop, StopGroup)
		r.close(r.members[1], number, api.OutcomeSucceeded)
	}
	r.wantGroup(TaskReady, 3)
}

func TestOccurrenceOfALockstepGroupStaysWhileARunIsOpen(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"))
	group := step("a", 2)
	group.Lockstep = true
	r.submitSpec("j", repeating(2, 2000, group))
	r.now = 2000
	first, second := occurrenceID("j", "a", 0, 0), occurrenceID("j", "a", 1, 0)
	r.mustPlace(onWorker(first, 1, "w1"), onWorker(second, 1, "w1"))
	r.close(first, 1, api.OutcomeSucceeded)
	expect(t, "open runs", r.task(second).Run != nil, true)
	r.close(second, 1, api.OutcomeStopped)
	got := r.status("j")
	expect(t, "state", got.State, api.StateRunning)
	expect(t, "succeeded occurrences", got.Occurrences.Succeeded, 1)
}
