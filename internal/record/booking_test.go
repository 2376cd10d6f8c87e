package record

import (
	"crypto/sha256"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/decklever/decklever/api"
)

func (r *harness) release(windows ...ReleaseWindow) {
	r.t.Helper()
	for _, window := range windows {
		r.apply(Command{ReleaseWindow: &window})
	}
}

func expectReleased(t *testing.T, machine *Machine, expected ...ReleaseWindow) {
	t.Helper()
	machine.Read(func(v View) {
		if diff := cmp.Diff(expected, v.ReleasedWindows(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("released (-expected +got):\n%s", diff)
		}
	})
}

func TestReleaseWindow_KeptUntilWindowEnds(t *testing.T) {
	r := newHarness(t)
	early := ReleaseWindow{Queue: testQueue, Booking: "b", Start: 1500, End: 2000}
	late := ReleaseWindow{Queue: "narrow", Booking: "b", Start: 1500, End: 3000}
	tied := ReleaseWindow{Queue: testQueue, Booking: "a", Start: 1500, End: 2000}
	r.release(late, early, tied, early, ReleaseWindow{Queue: testQueue, Booking: "past", Start: 500, End: 1000})
	expectEvents(t, r, "released narrow/b/1500", "released q/b/1500", "released q/a/1500")
	expectReleased(t, r.machine, tied, early, late)
	copied := restored(t, snapshotBytes(t, r.machine), r.archive)
	expectReleased(t, copied, tied, early, late)

	r.now = 1999
	r.submit("j", stepSpec("a", 1))
	expectReleased(t, r.machine, tied, early, late)
	r.now = 2000
	r.submit("k", stepSpec("a", 1))
	expectReleased(t, r.machine, late)
	r.now = 4000
	r.release(early)
	expectReleased(t, r.machine)
}

func TestPreemptions_CountedWhenStoppedRunCloses(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w"))
	r.submit("j", stepSpec("a", 2))
	task, lucky := taskID("j", "a", 0), taskID("j", "a", 1)
	r.mustPlace(placementOn(task, 1, "w"), placementOn(lucky, 1, "w"))
	r.stop(StopPreempted, task, lucky)
	expect(t, "not before the close", r.task(task).Preemptions, 0)
	r.close(task, 1, api.OutcomeStopped)
	r.close(lucky, 1, api.OutcomeSucceeded)
	expect(t, "stopped", r.task(task).Preemptions, 1)
	expect(t, "succeeded", r.task(lucky).Preemptions, 0)
	r.mustPlace(placementOn(task, 2, "w"))
	r.stop(StopPreempted, task)
	r.close(task, 2, api.OutcomeFailed)
	r.now += 1000 // the pause after a failure
	r.mustPlace(placementOn(task, 3, "w"))
	r.stop(StopDrained, task)
	r.close(task, 3, api.OutcomeStopped)
	expect(t, "failures", r.task(task).Failures, 1)
	expect(t, "drained is none", r.task(task).Preemptions, 2)
	restored(t, snapshotBytes(t, r.machine), r.archive).Read(func(v View) {
		copied, _ := v.Task(task)
		expect(t, "in the snapshot", copied.Preemptions, 2)
	})
}

func TestTeamLimit_BoundsSumOfItsQueues(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"), testWorker("w2"))
	shared := testConfig()
	shared.Teams = []api.TeamConfig{{Name: "t", MaxRunningTasks: 2}}
	shared.Queues[0].Team, shared.Queues[1].Team = "t", "t"
	shared.Queues[1].MaxRunningTasks = 0
	r.submit("j", stepSpec("a", 3))
	r.mustPlace(placementOn(taskID("j", "a", 0), 1, "w1"))
	r.putConfig("team", 1, shared)
	group := stepSpec("g", 2)
	group.Together = true
	r.submitTo("narrow", "n", stepSpec("a", 2), group)
	counts := func(pending, running int) {
		t.Helper()
		r.machine.Read(func(v View) {
			expect(t, "counts", v.TeamCounts("t"), QueueCounts{Jobs: 2, PendingTasks: pending, RunningTasks: running})
			expect(t, "other", v.TeamCounts("u"), QueueCounts{})
		})
	}
	counts(6, 1)
	r.mustRejectAll(placementOn(taskID("n", "g", 0), 1, "w2"), placementOn(taskID("n", "g", 1), 1, "w2"))
	r.mustPlace(placementOn(taskID("n", "a", 0), 1, "w2"))
	r.mustRejectAll(placementOn(taskID("n", "a", 1), 1, "w2"))
	r.mustRejectAll(placementOn(taskID("j", "a", 1), 1, "w1"))
	r.close(taskID("j", "a", 0), 1, api.OutcomeSucceeded)
	counts(5, 1)
	r.close(taskID("n", "a", 0), 1, api.OutcomeLost)
	counts(6, 0)
	r.mustPlace(placementOn(taskID("n", "g", 0), 1, "w2"), placementOn(taskID("n", "g", 1), 1, "w2"))
	restored(t, snapshotBytes(t, r.machine), r.archive).Read(func(v View) {
		expect(t, "restored", v.TeamCounts("t"), QueueCounts{Jobs: 2, PendingTasks: 4, RunningTasks: 2})
	})

	shared.Queues[1].Team = ""
	r.putConfig("left", 2, shared)
	r.machine.Read(func(v View) {
		expect(t, "after a queue left", v.TeamCounts("t"), QueueCounts{Jobs: 1, PendingTasks: 2})
	})
	r.mustPlace(placementOn(taskID("j", "a", 1), 1, "w1"), placementOn(taskID("j", "a", 2), 1, "w1"))
}

func TestRestore_SnapshotWithoutNewerFields(t *testing.T) {
	// The header as it was before bookings: fields 1 to 10.
	header, err := encoding.Marshal(map[int]any{
		1: 1, 2: 9, 3: 1234, 4: 0, 5: 1, 6: testConfig(), 7: 0, 8: 0, 9: 0, 10: 0,
	})
	if err != nil {
		t.Fatal(err)
	}
	data := append([]byte(snapshotMagic), header...)
	sum := sha256.Sum256(data)
	machine := restored(t, append(data, sum[:]...), newTestArchive())
	machine.Read(func(v View) {
		expect(t, "applied", v.Applied(), 9)
		expect(t, "clock", v.Clock(), 1234)
	})
	expectReleased(t, machine)
}
