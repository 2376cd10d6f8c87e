package worker

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
)

const (
	// maxProgressBytes bounds the checkpoints of open runs in one heartbeat, and
	// maxReportBytes the texts of reports; what is beyond goes with the next.
	// The largest heartbeat is 1 MiB, and JSON may write a byte as six.
	maxProgressBytes = 32 << 10
	maxReportBytes   = 96 << 10
)

// progressToSend lists what handlers said and no accepted answer covers yet.
// Under a new token and after a failed heartbeat everything is said again, as
// the leader may be another. Runs that waited longest for room come first.
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

// confirmProgress notes that the answer to what was sent last was accepted.
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

// forgetConfirmed makes the next heartbeat say everything again.
func (s *session) forgetConfirmed() {
	for _, run := range s.running {
		run.confirmedChanges = 0
		run.sentChanges = 0
	}
}

// splitEnded returns the reports for one heartbeat. Runs whose reports have no
// room in it are named as running for so long.
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
