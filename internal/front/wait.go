package front

import (
	"context"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// maxLongPoll is how long one call of a held read is held by the leader; a
	// longer wait is made of several, so that a change of leader goes unnoticed.
	maxLongPoll = 2 * time.Second
	// lateAnswerGrace is how long the answer to the last call of a wait may be late
	// before the state read earlier in the same wait is answered.
	lateAnswerGrace = 200 * time.Millisecond
	// minPollInterval keeps a leader that answers without holding from being asked
	// without end.
	minPollInterval = 50 * time.Millisecond
)

// waitForJob reads a job until it is final or the wait is over; then the
// answer is the newest state that was read during the wait.
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

// longPoll is one call of a wait that is over at end. Each try of it is held no
// longer than what is left of the wait, so that a leader lost in the middle of
// it delays the answer by the one try that it did not answer. While no state is
// known the call goes on for Deadline beyond the wait; a known state is
// answered once the wait is over.
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
