package worker

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
)

const (
	// maxProgressBytes bounds the checkpoints of open runs in one heartbeat, and
	// maxReportBytes the messages and checkpoints of reports; what exceeds them
	// is sent with later heartbeats. A heartbeat may have at most 1 MiB, and JSON
	// may encode one byte as six.
	maxProgressBytes = 32 << 10
	maxReportBytes   = 96 << 10
)

// progressToSend returns the progress that no accepted answer has confirmed, up
// to maxProgressBytes of checkpoints. After a new token or a failed heartbeat
// all progress is sent again, since the leader may have changed. The runs whose
// progress was sent longest ago come first, so that the progress of each run is
// sent eventually.
func (s *session) progressToSend() []api.RunProgress {
	var all []api.RunProgress
	size := 0
	refs := s.runningRefs()
	slices.SortStableFunc(refs, func(a, b api.RunRef) int {
		return cmp.Compare(s.running[a].lastSentSeq, s.running[b].lastSentSeq)
	})
	for _, ref := range refs {
		run := s.running[ref]
		percent, checkpoint, changes := run.progress.get()
		if changes == run.confirmedChanges || size+len(checkpoint) > maxProgressBytes {
			continue
		}
		size += len(checkpoint)
		run.sentChanges = changes
		run.lastSentSeq = s.seq
		all = append(all, api.RunProgress{RunRef: ref, Percent: percent, Checkpoint: checkpoint})
	}
	return all
}

// confirmProgress records that the progress in the outstanding heartbeat was
// received, since its answer was accepted. With a new token it first discards
// the confirmations of the earlier leader.
func (s *session) confirmProgress(newToken bool) {
	for _, run := range s.running {
		if newToken {
			run.confirmedChanges = 0
		}
		if run.sentChanges != 0 {
			run.confirmedChanges = run.sentChanges
			run.sentChanges = 0
		}
	}
}

// resetConfirmedProgress discards all confirmations, so that the following
// heartbeats send the progress of all runs again.
func (s *session) resetConfirmedProgress() {
	for _, run := range s.running {
		run.confirmedChanges = 0
		run.sentChanges = 0
	}
}

// splitEndedRuns returns the reports that fit into one heartbeat, and the runs
// whose reports do not fit. The deferred runs are listed as running until their
// reports are sent.
func (s *session) splitEndedRuns() (ended []api.EndedRun, deferred []api.RunRef) {
	size := 0
	ended = make([]api.EndedRun, 0, len(s.ended))
	for _, run := range s.endedRuns() {
		size += len(run.Message) + len(run.Checkpoint)
		if size > maxReportBytes {
			deferred = append(deferred, run.RunRef)
			continue
		}
		ended = append(ended, run)
	}
	return ended, deferred
}
