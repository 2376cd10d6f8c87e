package worker

import (
	"errors"
	"fmt"
	"sync"
	"unicode/utf8"

	"github.com/decklever/decklever/api"
)

// maxPercent is the highest progress that a run can report.
const maxPercent = 100

// Errors with which Task.Report rejects a checkpoint.
var (
	// ErrNotResumable is returned for a task without TaskSpec.Resumable.
	ErrNotResumable = errors.New("task is not resumable")
	// ErrCheckpoint is returned for a checkpoint that is longer than
	// api.MaxCheckpointBytes or not valid UTF-8.
	ErrCheckpoint = errors.New("checkpoint cannot be kept")
)

// progress is the progress of a run as its handler last reported it. Handlers
// write it while the loop reads it; the mutex guards all fields.
type progress struct {
	mutex      sync.Mutex
	percent    int
	checkpoint string
	// changes counts the calls of set; it is 0 until the first report.
	changes uint64
}

// set records a percentage, limited to 0 to maxPercent, and the checkpoint
// unless it is empty.
func (p *progress) set(percent int, checkpoint string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.changes++
	p.percent = min(max(percent, 0), maxPercent)
	if checkpoint != "" {
		p.checkpoint = checkpoint
	}
}

// get returns the last report and the count of changes.
func (p *progress) get() (percent int, checkpoint string, changes uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.percent, p.checkpoint, p.changes
}

// Report records the progress of the run, in percent by the handler's own
// measure, and a checkpoint from which a later run can continue; an empty
// checkpoint leaves the previous one unchanged. The next heartbeat sends both.
// The newest checkpoint is also sent with the report of a run that did not
// succeed, so a handler may call Report after its context was cancelled. Report
// returns ErrNotResumable for a checkpoint of a task without TaskSpec.Resumable
// and ErrCheckpoint for an invalid checkpoint; then it records nothing.
func (t Task) Report(percent int, checkpoint string) error {
	switch {
	case checkpoint != "" && !t.Spec.Resumable:
		return fmt.Errorf("%s: %w", t.Task, ErrNotResumable)
	case len(checkpoint) > api.MaxCheckpointBytes:
		return fmt.Errorf("%s: %w: %d bytes, at most %d", t.Task, ErrCheckpoint, len(checkpoint), api.MaxCheckpointBytes)
	case !utf8.ValidString(checkpoint):
		return fmt.Errorf("%s: %w: not UTF-8", t.Task, ErrCheckpoint)
	}
	if t.progress != nil {
		t.progress.set(percent, checkpoint)
	}
	return nil
}

// finalCheckpoint returns the checkpoint to report with the end of the run. It
// is empty for a run that succeeded.
func (t Task) finalCheckpoint(outcome api.Outcome) string {
	if t.progress == nil || outcome == api.OutcomeSucceeded {
		return ""
	}
	_, checkpoint, _ := t.progress.get()
	return checkpoint
}
