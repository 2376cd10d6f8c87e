package record

import "fmt"

// checkpointText is the checkpoint of a run at a progress in percent, which names
// both.
func checkpointText(run RunID, percent int) string {
	return fmt.Sprintf("%s %d %d", run.Task, run.Number, percent)
}

// checkCheckpoint checks that the checkpoint of a task was left by one of its own
// runs, or by one of its gang with a common outcome, and never by an earlier run
// than before.
func (c *invariantChecker) checkCheckpoint(task *Task) {
	newest := task.checkpointOwner().checkpoint
	if newest.text == "" {
		if newest != (checkpoint{}) || c.checkpointRun[task] != 0 {
			c.t.Fatalf("%s lost its checkpoint", task.ID)
		}
		return
	}
	owners := []*Task{task}
	if task.Step.Spec.Lockstep {
		owners = task.Step.Tasks
	}
	own := false
	for _, owner := range owners {
		text := checkpointText(RunID{Task: owner.ID, Number: newest.run}, newest.percent)
		own = own || owner.Spec.Resumable && text == newest.text
	}
	if !own || newest.run > task.LastRun || newest.run < c.checkpointRun[task] {
		c.t.Fatalf("%s has checkpoint %q of run %d, before of run %d", task.ID, newest.text, newest.run, c.checkpointRun[task])
	}
	c.checkpointRun[task] = newest.run
	want := ""
	if task.Spec.Resumable {
		want = newest.text
	}
	if got := task.NewestCheckpoint(); got != want {
		c.t.Fatalf("%s starts from %q, want %q", task.ID, got, want)
	}
}
