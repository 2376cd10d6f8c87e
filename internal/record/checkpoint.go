package record

import "github.com/decklever/decklever/api"

// checkpoint is the newest checkpoint text reported by a run of a task. The task's
// next run resumes from it.
type checkpoint struct {
	text string
	// run is the number of the run that reported text; percent is its progress then.
	run     uint32
	percent int
}

// NewestCheckpoint returns the checkpoint from which the next run of the task
// starts, or "" if there is none or the task is not resumable. Resumable members
// of a gang with a common outcome share one checkpoint.
func (t *Task) NewestCheckpoint() string {
	if !t.Spec.Resumable {
		return ""
	}
	return t.checkpointOwner().checkpoint.text
}

// checkpointOwner returns the task that stores the checkpoint: the first member in
// a gang with a common outcome, otherwise t itself.
func (t *Task) checkpointOwner() *Task {
	if t.Step.SharesOutcome() {
		return t.Step.Tasks[0]
	}
	return t
}

// updateCheckpoint stores the checkpoint of a run that is being closed or was
// already closed. It changes nothing if the run reported no checkpoint or one
// longer than api.MaxCheckpointBytes, succeeded, or has a lower number than the run
// that reported the current checkpoint. Members of a gang share a run number; of
// their checkpoints the one with the most progress is kept, and on a tie the last.
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
