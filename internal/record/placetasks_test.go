package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// TestPlaceTasks_BackupRunsHaveNoEffect checks that a spec with BackupRuns is accepted
// and that its task still has at most one open run.
func TestPlaceTasks_BackupRunsHaveNoEffect(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"), testWorker("w2"))
	step := stepSpec("a", 1)
	step.Tasks[0].BackupRuns = true
	h.submit("j", step)
	task := h.task(taskID("j", "a", 0))
	h.mustPlace(placementOn(task.ID, 1, "w1"))
	h.mustRejectAll(placementOn(task.ID, 2, "w2"))
	if task.State != TaskPlaced || task.LastRun != 1 || task.Run.Worker != "w1" {
		t.Fatalf("got state %d, run %d on %s, want the placed run 1 on w1", task.State, task.LastRun, task.LastWorker)
	}
}

func TestTeamLimit_BoundsSumOfItsQueues(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"), testWorker("w2"))
	config := testConfig()
	config.Teams = []api.TeamConfig{{Name: "t", MaxRunningTasks: 2}}
	config.Queues[0].Team, config.Queues[1].Team = "t", "t"
	config.Queues[1].MaxRunningTasks = 0
	h.submit("j", stepSpec("a", 3))
	h.mustPlace(placementOn(taskID("j", "a", 0), 1, "w1"))
	h.putConfig("team", 1, config)
	gang := stepSpec("g", 2)
	gang.Together = true
	h.submitTo("narrow", "n", stepSpec("a", 2), gang)
	counts := func(pending, running int) {
		t.Helper()
		h.machine.Read(func(v View) {
			expect(t, "counts of the team", v.TeamCounts("t"), QueueCounts{Jobs: 2, PendingTasks: pending, RunningTasks: running})
			expect(t, "counts of an unknown team", v.TeamCounts("u"), QueueCounts{})
		})
	}
	counts(6, 1)
	h.mustRejectAll(placementOn(taskID("n", "g", 0), 1, "w2"), placementOn(taskID("n", "g", 1), 1, "w2"))
	h.mustPlace(placementOn(taskID("n", "a", 0), 1, "w2"))
	h.mustRejectAll(placementOn(taskID("n", "a", 1), 1, "w2"))
	h.mustRejectAll(placementOn(taskID("j", "a", 1), 1, "w1"))
	h.close(taskID("j", "a", 0), 1, api.OutcomeSucceeded)
	counts(5, 1)
	h.close(taskID("n", "a", 0), 1, api.OutcomeLost)
	counts(6, 0)
	h.mustPlace(placementOn(taskID("n", "g", 0), 1, "w2"), placementOn(taskID("n", "g", 1), 1, "w2"))
	restoreMachine(t, snapshotBytes(t, h.machine), h.archive).Read(func(v View) {
		expect(t, "counts after a restore", v.TeamCounts("t"), QueueCounts{Jobs: 2, PendingTasks: 4, RunningTasks: 2})
	})

	config.Queues[1].Team = ""
	h.putConfig("left", 2, config)
	h.machine.Read(func(v View) {
		expect(t, "counts after a queue left the team", v.TeamCounts("t"), QueueCounts{Jobs: 1, PendingTasks: 2})
	})
	h.mustPlace(placementOn(taskID("j", "a", 1), 1, "w1"), placementOn(taskID("j", "a", 2), 1, "w1"))
}

func TestPlaceTasks_RejectsInfeasiblePlacements(t *testing.T) {
	h := newHarness(t)
	other := testWorker("other")
	other.Services = []string{"t"}
	h.register(testWorker("w"), other)
	start := time.UnixMilli(2000)
	timed := stepSpec("timed", 1)
	timed.NotBefore = &start
	labelled := stepSpec("labelled", 1)
	labelled.Tasks[0].Labels = map[string]string{"disk": "fast"}
	h.submit("j", stepSpec("a", 5), timed, labelled)
	h.mustRejectAll(placementOn(taskID("j", "a", 0), 1, "other"))
	h.mustRejectAll(placementOn(taskID("j", "a", 0), 1, "gone"))
	h.mustRejectAll(placementOn(taskID("j", "a", 9), 1, "w"))
	h.mustRejectAll(placementOn(taskID("j", "timed", 0), 1, "w"))
	h.mustRejectAll(placementOn(taskID("j", "labelled", 0), 1, "w"))
	stale := placementOn(taskID("j", "a", 0), 1, "w")
	stale.WorkerID = "w-0"
	h.mustRejectAll(stale)

	var placements []Placement
	for i := range 5 {
		placements = append(placements, placementOn(taskID("j", "a", i), 1, "w"))
	}
	rejected := h.place(append(placements, placements[0])...)
	expect(t, "rejected placements", len(rejected), 2)
	expect(t, "first rejected run", rejected[0], placements[4].Run)
	h.close(taskID("j", "a", 0), 1, api.OutcomeSucceeded)
	h.now = 2000
	h.mustPlace(placementOn(taskID("j", "timed", 0), 1, "w"))

	h.submitTo("narrow", "n", stepSpec("a", 2))
	h.register(testWorker("w2"))
	rejected = h.place(placementOn(taskID("n", "a", 0), 1, "w2"), placementOn(taskID("n", "a", 1), 1, "w2"))
	expect(t, "rejected placements beyond the queue's limit", len(rejected), 1)
}

func TestPlaceTasks_SpreadLimitsEachDomain(t *testing.T) {
	h := newHarness(t)
	w1, w2, w3 := testWorker("w1"), testWorker("w2"), testWorker("w3")
	w3.Zone = "z2"
	w2.Labels = map[string]string{"rack": "r"}
	h.register(w1, w2, w3)
	cases := []struct {
		by      string
		allowed []string
	}{
		{api.SpreadByWorker, []string{"w1", "w2", "w3"}},
		{api.SpreadByZone, []string{"w1", "w3"}},
		{"label:rack", []string{"w1", "w2"}},
	}
	for _, c := range cases {
		t.Run(c.by, func(t *testing.T) {
			spread := stepSpec("a", 3)
			for i := range spread.Tasks {
				spread.Tasks[i].Spread = &api.Spread{By: c.by}
			}
			h.submit(c.by, spread)
			var placed []string
			for i, worker := range []string{"w1", "w2", "w3"} {
				if len(h.place(placementOn(taskID(c.by, "a", i), 1, worker))) == 0 {
					placed = append(placed, worker)
				}
			}
			expect(t, "workers", fmt.Sprint(placed), fmt.Sprint(c.allowed))
		})
	}
}

func TestPlaceTasks_GangAllOrNothing(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"), testWorker("w2"))
	gang := stepSpec("a", 3)
	gang.Together = true
	h.submit("j", gang)
	m0, m1, m2 := taskID("j", "a", 0), taskID("j", "a", 1), taskID("j", "a", 2)
	members := func(run uint32, w string) []Placement {
		return []Placement{placementOn(m0, run, "w1"), placementOn(m1, run, "w1"), placementOn(m2, run, w)}
	}
	h.mustRejectAll(placementOn(m0, 1, "w1"))
	h.mustRejectAll(members(1, "gone")...)
	h.mustPlace(members(1, "w2")...)

	h.close(m2, 1, api.OutcomeLost)
	h.stop(StopGang, m0, m1)
	h.mustRejectAll(placementOn(m2, 2, "w2"))
	h.close(m0, 1, api.OutcomeStopped)
	h.close(m1, 1, api.OutcomeStopped)
	h.mustRejectAll(placementOn(m2, 2, "w2"), placementOn(m0, 2, "w1"))
	h.mustPlace(members(2, "w2")...)

	h.close(m2, 2, api.OutcomeLost)
	h.mustPlace(placementOn(m2, 3, "w2"))
	h.close(m0, 2, api.OutcomeSucceeded)
	h.close(m1, 2, api.OutcomeLost)
	h.close(m2, 3, api.OutcomeLost)
	h.mustRejectAll(placementOn(m2, 4, "w2"))
	h.mustPlace(placementOn(m1, 3, "w1"), placementOn(m2, 4, "w2"))
}
