package record

import "testing"

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
