package record

import "fmt"

// checkpointText returns the checkpoint of a run at a progress in percent. The text
// contains both.
func checkpointText(run RunID, percent int) string {
	return fmt.Sprintf("%s %d %d", run.Task, run.Number, percent)
}

// checkCheckpoint checks that the checkpoint of a task was reported by a run of the
// task, or of its gang with a common outcome, and that its run number never
// decreases.
func (c *invariantChecker) checkCheckpoint(task *Task) {
	newest := task.checkpointOwner().checkpoint
	if newest.text == "" {
		if newest != (checkpoint{}) || c.checkpointRun[task] != 0 {
			c.t.Fatalf("%s: checkpoint was lost", task.ID)
		}
		return
	}
	owners := []*Task{task}
	if task.Step.Spec.Lockstep {
		owners = task.Step.Tasks
	}
	leftByOwner := false
	for _, owner := range owners {
		text := checkpointText(RunID{Task: owner.ID, Number: newest.run}, newest.percent)
		leftByOwner = leftByOwner || owner.Spec.Resumable && text == newest.text
	}
	if !leftByOwner || newest.run > task.LastRun || newest.run < c.checkpointRun[task] {
		c.t.Fatalf("%s: got checkpoint %q of run %d, want one of its own runs, not older than run %d", task.ID, newest.text, newest.run, c.checkpointRun[task])
	}
	c.checkpointRun[task] = newest.run
	want := ""
	if task.Spec.Resumable {
		want = newest.text
	}
	if got := task.NewestCheckpoint(); got != want {
		c.t.Fatalf("%s: next run starts from checkpoint %q, want %q", task.ID, got, want)
	}
}
