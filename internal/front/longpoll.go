package front

import (
	"context"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// maxLongPoll is how long the leader holds one call of a long poll. A longer wait is
	// made of several, so that it survives a change of leader.
	maxLongPoll = 2 * time.Second
	// lateAnswerGrace is how late the answer to the last call of a wait may be before the
	// state that was read earlier in the wait is the answer.
	lateAnswerGrace = 200 * time.Millisecond
	// minPollInterval keeps a leader that does not hold calls from being called in a loop.
	minPollInterval = 50 * time.Millisecond
)

// waitForJob reads a job until it is final or the wait is over. The answer is then the
// newest state that was read.
func (f *Front) waitForJob(ctx context.Context, id string, wait time.Duration) (api.JobStatus, *api.Error) {
	end := time.Now().Add(wait)
	var newest *api.JobStatus
	for {
		started := time.Now()
		call := f.longPoll(id, end, newest != nil)
		answer, refusal := relay[protocol.JobAnswer](ctx, f, call)
		switch {
		case refusal == nil:
			newest = &answer.Status
		case newest == nil || refusal.Status != http.StatusServiceUnavailable:
			return api.JobStatus{}, refusal
		}
		if newest.State.Final() || time.Until(end) <= 0 || ctx.Err() != nil {
			return *newest, nil //nolint:nilerr // the newest state is the answer, whatever a later read met
		}
		if time.Since(started) < call.maxWait/2 {
			sleep(ctx, min(minPollInterval, time.Until(end)))
		}
	}
}

// longPoll is one call of a wait that ends at end. The leader holds each attempt no longer
// than what is left of the wait, so that a leader that dies delays the answer by one
// attempt only. While no state is known, the call goes on for Settings.Deadline after the
// wait; a known state is the answer once the wait is over.
func (f *Front) longPoll(id string, end time.Time, known bool) relayCall[protocol.GetJobRequest] {
	call := relayCall[protocol.GetJobRequest]{
		method: protocol.MethodGetJob,
		renew: func(call *relayCall[protocol.GetJobRequest]) {
			call.maxWait = min(maxLongPoll, max(0, time.Until(end)))
			call.request = protocol.GetJobRequest{ID: id, WaitMillis: call.maxWait.Milliseconds()}
		},
	}
	call.renew(&call)
	call.deadline = end.Add(f.settings.Load().Deadline)
	if known {
		call.deadline = end.Add(lateAnswerGrace)
	}
	return call
}
