package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// TestPlace_TaskWithBackupRunsHasOneOpenRun: backup runs have no effect yet.
func TestPlace_TaskWithBackupRunsHasOneOpenRun(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"), testWorker("w2"))
	backed := stepSpec("a", 1)
	backed.Tasks[0].BackupRuns = true
	r.submit("j", backed)
	task := r.task(taskID("j", "a", 0))
	r.mustPlace(placementOn(task.ID, 1, "w1"))
	r.mustRejectAll(placementOn(task.ID, 2, "w2"))
	if task.State != TaskPlaced || task.LastRun != 1 || task.Run.Worker != "w1" {
		t.Fatalf("state %d, run %d on %s", task.State, task.LastRun, task.LastWorker)
	}
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

func TestPlaceTasks_RejectsWhatNoLongerFits(t *testing.T) {
	r := newHarness(t)
	other := testWorker("other")
	other.Services = []string{"t"}
	r.register(testWorker("w"), other)
	start := time.UnixMilli(2000)
	timed := stepSpec("timed", 1)
	timed.NotBefore = &start
	labelled := stepSpec("labelled", 1)
	labelled.Tasks[0].Labels = map[string]string{"disk": "fast"}
	r.submit("j", stepSpec("a", 5), timed, labelled)
	r.mustRejectAll(placementOn(taskID("j", "a", 0), 1, "other"))
	r.mustRejectAll(placementOn(taskID("j", "a", 0), 1, "gone"))
	r.mustRejectAll(placementOn(taskID("j", "a", 9), 1, "w"))
	r.mustRejectAll(placementOn(taskID("j", "timed", 0), 1, "w"))
	r.mustRejectAll(placementOn(taskID("j", "labelled", 0), 1, "w"))
	stale := placementOn(taskID("j", "a", 0), 1, "w")
	stale.WorkerID = "w-0"
	r.mustRejectAll(stale)

	var five []Placement
	for i := range 5 {
		five = append(five, placementOn(taskID("j", "a", i), 1, "w"))
	}
	rejected := r.place(append(five, five[0])...)
	expect(t, "too many", len(rejected), 2)
	expect(t, "first too many", rejected[0], five[4].Run)
	r.close(taskID("j", "a", 0), 1, api.OutcomeSucceeded)
	r.now = 2000
	r.mustPlace(placementOn(taskID("j", "timed", 0), 1, "w"))

	r.submitTo("narrow", "n", stepSpec("a", 2))
	r.register(testWorker("w2"))
	rejected = r.place(placementOn(taskID("n", "a", 0), 1, "w2"), placementOn(taskID("n", "a", 1), 1, "w2"))
	expect(t, "beyond the queue's bound", len(rejected), 1)
}

func TestPlaceTasks_SpreadLimitsEachDomain(t *testing.T) {
	r := newHarness(t)
	w1, w2, w3 := testWorker("w1"), testWorker("w2"), testWorker("w3")
	w3.Zone = "z2"
	w2.Labels = map[string]string{"rack": "r"}
	r.register(w1, w2, w3)
	for by, allowed := range map[string][]string{
		api.SpreadByWorker: {"w1", "w2", "w3"},
		api.SpreadByZone:   {"w1", "w3"},
		"label:rack":       {"w1", "w2"},
	} {
		spread := stepSpec("a", 3)
		for i := range spread.Tasks {
			spread.Tasks[i].Spread = &api.Spread{By: by}
		}
		r.submit(by, spread)
		var placed []string
		for i, worker := range []string{"w1", "w2", "w3"} {
			if len(r.place(placementOn(taskID(by, "a", i), 1, worker))) == 0 {
				placed = append(placed, worker)
			}
		}
		expect(t, by, fmt.Sprint(placed), fmt.Sprint(allowed))
	}
}

func TestPlaceTasks_GangAllOrNothing(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"), testWorker("w2"))
	group := stepSpec("a", 3)
	group.Together = true
	r.submit("j", group)
	m0, m1, m2 := taskID("j", "a", 0), taskID("j", "a", 1), taskID("j", "a", 2)
	whole := func(run uint32, w string) []Placement {
		return []Placement{placementOn(m0, run, "w1"), placementOn(m1, run, "w1"), placementOn(m2, run, w)}
	}
	r.mustRejectAll(placementOn(m0, 1, "w1"))
	r.mustRejectAll(whole(1, "gone")...)
	r.mustPlace(whole(1, "w2")...)

	r.close(m2, 1, api.OutcomeLost)
	r.stop(StopGang, m0, m1)
	r.mustRejectAll(placementOn(m2, 2, "w2"))
	r.close(m0, 1, api.OutcomeStopped)
	r.close(m1, 1, api.OutcomeStopped)
	r.mustRejectAll(placementOn(m2, 2, "w2"), placementOn(m0, 2, "w1"))
	r.mustPlace(whole(2, "w2")...)

	r.close(m2, 2, api.OutcomeLost)
	r.mustPlace(placementOn(m2, 3, "w2"))
	r.close(m0, 2, api.OutcomeSucceeded)
	r.close(m1, 2, api.OutcomeLost)
	r.close(m2, 3, api.OutcomeLost)
	r.mustRejectAll(placementOn(m2, 4, "w2"))
	r.mustPlace(placementOn(m1, 3, "w1"), placementOn(m2, 4, "w2"))
}
