package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// recordCheckpoints keeps the newest that a worker says of runs open on it. What is
// said of others, or with a checkpoint beyond the bound, is passed over.
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

// addCheckpoint puts what was last reported of the run into its end. The
// checkpoint that came with the end is newer.
func (r *runState) addCheckpoint(end *record.RunEnd) {
	end.Percent = r.observed.percent
	if end.Checkpoint == "" {
		end.Checkpoint = r.observed.checkpoint
	}
}
