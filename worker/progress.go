package worker

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"unicode/utf8"

	"github.com/decklever/decklever/api"
)

const (
	maxPercent = 100
	// maxProgressBytes bounds the checkpoints of open runs in one heartbeat, and
	// maxReportBytes the texts of reports; what is beyond goes with the next.
	// The largest heartbeat is 1 MiB, and JSON may write a byte as six.
	maxProgressBytes = 32 << 10
	maxReportBytes   = 96 << 10
)

// Why Task.Report refuses a checkpoint.
var (
	// ErrNotResumable: the task's description does not say Resumable.
	ErrNotResumable = errors.New("task is not resumable")
	// ErrCheckpoint: the text is longer than api.MaxCheckpointBytes, or not UTF-8.
	ErrCheckpoint = errors.New("checkpoint cannot be kept")
)

// progress is how far a run is, as its handler last said. Handlers write it
// while the loop reads.
type progress struct {
	mutex      sync.Mutex
	percent    int
	checkpoint string
	// changes counts calls of set; 0 while the handler has said nothing.
	changes uint64
}

// set takes over a percentage, and a checkpoint unless it is empty.
func (p *progress) set(percent int, checkpoint string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.changes++
	p.percent = min(max(percent, 0), maxPercent)
	if checkpoint != "" {
		p.checkpoint = checkpoint
	}
}

// get returns what was said last and the count of changes.
func (p *progress) get() (percent int, checkpoint string, changes uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.percent, p.checkpoint, p.changes
}

// Report says how far the run is, in percent of the work by the handler's own
// measure, and from which checkpoint a later run can go on; empty leaves the
// one before. It goes out with the next heartbeat, and the newest checkpoint
// also with the report of a run that did not succeed, so that a handler may
// call it after its context has ended. Only a task whose description says
// Resumable has checkpoints.
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

// left is the checkpoint that a run left which ended this way.
func (t Task) left(outcome api.Outcome) string {
	if t.progress == nil || outcome == api.OutcomeSucceeded {
		return ""
	}
	_, checkpoint, _ := t.progress.get()
	return checkpoint
}

// progressToSend lists what handlers said and no accepted answer covers yet.
// Under a new token and after a failed heartbeat everything is said again, as
// the leader may be another. Runs that waited longest for room come first.
func (s *session) progressToSend() []api.RunProgress {
	var all []api.RunProgress
	size := 0
	refs := s.runningRefs()
	slices.SortStableFunc(refs, func(a, b api.RunRef) int {
		return cmp.Compare(s.running[a].sentIn, s.running[b].sentIn)
	})
	for _, ref := range refs {
		run := s.running[ref]
		percent, checkpoint, changes := run.progress.get()
		if changes == run.confirmed || size+len(checkpoint) > maxProgressBytes {
			continue
		}
		size += len(checkpoint)
		run.sent = changes
		run.sentIn = s.seq
		all = append(all, api.RunProgress{RunRef: ref, Percent: percent, Checkpoint: checkpoint})
	}
	return all
}

// confirmProgress notes that the answer to what was sent last was accepted.
func (s *session) confirmProgress(newToken bool) {
	for _, run := range s.running {
		if newToken {
			run.confirmed = 0
		}
		if run.sent != 0 {
			run.confirmed = run.sent
			run.sent = 0
		}
	}
}

// forgetConfirmed makes the next heartbeat say everything again.
func (s *session) forgetConfirmed() {
	for _, run := range s.running {
		run.confirmed = 0
		run.sent = 0
	}
}

// splitEnded returns the reports for one heartbeat. Runs whose reports have no
// room in it are named as running for so long.
func (s *session) splitEnded() (ended []api.EndedRun, heldBack []api.RunRef) {
	size := 0
	ended = make([]api.EndedRun, 0, len(s.ended))
	for _, run := range s.endedRuns() {
		size += len(run.Message) + len(run.Checkpoint)
		if size > maxReportBytes {
			heldBack = append(heldBack, run.RunRef)
			continue
		}
		ended = append(ended, run)
	}
	return ended, heldBack
}
