package record

import "github.com/decklever/decklever/api"

// checkCheckpoint is the newest text that an earlier run of a task left, from which
// the next run goes on.
type checkpoint struct {
	text string
	// run is the number of the run that left it, percent how far that was.
	run     uint32
	percent int
}

// NewestCheckpoint is the checkpoint with which the next run of the task starts,
// or empty. It is the same for all members of a group in lockstep.
func (t *Task) NewestCheckpoint() string {
	if !t.Spec.Resumable {
		return ""
	}
	return t.checkpointOwner().checkpoint.text
}

// checkpointOwner is the task that keeps the checkpoint: a group in lockstep
// has one, which its first member keeps.
func (t *Task) checkpointOwner() *Task {
	if t.Step.Spec.Lockstep {
		return t.Step.Tasks[0]
	}
	return t
}

// updateCheckpoint keeps what a run left that is closed or was closed before. A
// run that left none changes nothing. Of several ends of one run number, as
// members of a group have, the one that got furthest counts.
func (t *Task) updateCheckpoint(end *RunEnd) {
	if !t.Spec.Resumable || end.Checkpoint == "" || len(end.Checkpoint) > api.MaxCheckpointBytes {
		return
	}
	kept := &t.checkpointOwner().checkpoint
	older := end.Run.Number < kept.run
	behind := end.Run.Number == kept.run && end.Percent < kept.percent
	if end.Outcome == api.OutcomeSucceeded || older || behind {
		return
	}
	*kept = checkpoint{text: end.Checkpoint, run: end.Run.Number, percent: end.Percent}
}
