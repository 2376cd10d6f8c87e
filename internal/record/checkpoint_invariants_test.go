package record

import "fmt"

// checkpointText tells by which run of which task it was left, and how far that
// was.
func checkpointText(run RunID, percent int) string {
	return fmt.Sprintf("%s %d %d", run.Task, run.Number, percent)
}

// checkCheckpoint checks that a task keeps only what its own runs left, or those of
// its group in lockstep, and never goes back to an earlier run.
func (c *invariantChecker) checkCheckpoint(task *Task) {
	kept := task.checkpointOwner().checkpoint
	if kept.text == "" {
		if kept != (checkpoint{}) || c.checkpointRun[task] != 0 {
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
		text := checkpointText(RunID{Task: owner.ID, Number: kept.run}, kept.percent)
		own = own || owner.Spec.Resumable && text == kept.text
	}
	if !own || kept.run > task.LastRun || kept.run < c.checkpointRun[task] {
		c.t.Fatalf("%s keeps %q of run %d, before of run %d", task.ID, kept.text, kept.run, c.checkpointRun[task])
	}
	c.checkpointRun[task] = kept.run
	want := ""
	if task.Spec.Resumable {
		want = kept.text
	}
	if got := task.NewestCheckpoint(); got != want {
		c.t.Fatalf("%s starts from %q, want %q", task.ID, got, want)
	}
}
