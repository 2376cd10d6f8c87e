package worker

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
)

const (
	// maxProgressBytes bounds the checkpoints of open runs in one heartbeat,
	// and maxReportBytes the texts of reports; the rest goes with the next
	// one. The largest heartbeat is 1 MiB, and JSON may encode a byte as six.
	maxProgressBytes = 32 << 10
	maxReportBytes   = 96 << 10
)

// progressToSend returns the progress that no accepted answer covers yet.
// Under a new token and after a failed heartbeat all progress is sent again,
// since the leader may have changed. Runs whose progress was sent longest ago
// come first.
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

// confirmProgress records that the answer to the heartbeat that was sent last
// was accepted.
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

// forgetConfirmed makes the next heartbeat send all progress again.
func (s *session) forgetConfirmed() {
	for _, run := range s.running {
		run.confirmedChanges = 0
		run.sentChanges = 0
	}
}

// splitEnded returns the reports that fit into one heartbeat, and the runs of
// those that do not, which are listed as running until then.
func (s *session) splitEnded() (ended []api.EndedRun, deferred []api.RunRef) {
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
