package record

import "testing"

// TestTaskWithBackupRunsHasOneOpenRun: backup runs have no effect yet.
func TestTaskWithBackupRunsHasOneOpenRun(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"), testWorker("w2"))
	backed := step("a", 1)
	backed.Tasks[0].BackupRuns = true
	r.submit("j", backed)
	task := r.task(id("j", "a", 0))
	r.mustPlace(onWorker(task.ID, 1, "w1"))
	r.mustReject(onWorker(task.ID, 2, "w2"))
	if task.State != TaskPlaced || task.LastRun != 1 || task.Run.Worker != "w1" {
		t.Fatalf("state %d, run %d on %s", task.State, task.LastRun, task.LastWorker)
	}
}
