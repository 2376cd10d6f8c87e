package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// recordCheckpoints records the percentage and the checkpoint that a worker reports for runs
// open on it. It ignores reports on other runs, and those with a checkpoint of more than
// api.MaxCheckpointBytes. An empty checkpoint does not replace an earlier one.
func (w *workerEntry) recordCheckpoints(all []api.RunProgress) {
	for _, progress := range all {
		id, ok := parseRun(progress.RunRef)
		if !ok || len(progress.Checkpoint) > api.MaxCheckpointBytes {
			continue
		}
		run, open := w.runs[id]
		if !open {
			continue
		}
		run.observed.percent = progress.Percent
		if progress.Checkpoint != "" {
			run.observed.checkpoint = progress.Checkpoint
		}
	}
}

// addCheckpoint copies the run's last reported percentage and checkpoint to its end. A
// checkpoint that was reported with the end is newer and stays.
func (r *runState) addCheckpoint(end *record.RunEnd) {
	end.Percent = r.observed.percent
	if end.Checkpoint == "" {
		end.Checkpoint = r.observed.checkpoint
	}
}
