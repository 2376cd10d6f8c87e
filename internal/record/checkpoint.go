package record

import "github.com/decklever/decklever/api"

// checkpoint is the newest text that an earlier run of a task left, from which the
// next run continues.
type checkpoint struct {
	text string
	// run is the number of the run that left it, percent its progress then.
	run     uint32
	percent int
}

// NewestCheckpoint is the checkpoint from which the next run of the task starts,
// or empty. It is the same for all members of a gang with a common outcome.
func (t *Task) NewestCheckpoint() string {
	if !t.Spec.Resumable {
		return ""
	}
	return t.checkpointOwner().checkpoint.text
}

// checkpointOwner is the task whose checkpoint counts: a gang with a common
// outcome has one, that of its first member.
func (t *Task) checkpointOwner() *Task {
	if t.Step.SharesOutcome() {
		return t.Step.Tasks[0]
	}
	return t
}

// updateCheckpoint takes the checkpoint of a run that is being closed, or was
// closed before. It changes nothing if the run left none, succeeded, or is older
// than the one that left the present checkpoint. Of several ends with one run
// number, as the members of a gang have, the one with the most progress counts.
func (t *Task) updateCheckpoint(end *RunEnd) {
	if !t.Spec.Resumable || end.Checkpoint == "" || len(end.Checkpoint) > api.MaxCheckpointBytes {
		return
	}
	newest := &t.checkpointOwner().checkpoint
	older := end.Run.Number < newest.run
	behind := end.Run.Number == newest.run && end.Percent < newest.percent
	if end.Outcome == api.OutcomeSucceeded || older || behind {
		return
	}
	*newest = checkpoint{text: end.Checkpoint, run: end.Run.Number, percent: end.Percent}
}
