package front

import (
	"context"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// maxLongPoll is how long the leader holds one call of a long poll. A longer wait
	// consists of several calls, so that it survives a change of leader.
	maxLongPoll = 2 * time.Second
	// lateAnswerGrace is how long after the end of a wait its last call may still be
	// answered. After that, the caller gets the status that was read earlier in the wait.
	lateAnswerGrace = 200 * time.Millisecond
	// minPollInterval is the wait before the next call if the leader did not hold the last
	// one, so that it is not called in a busy loop.
	minPollInterval = 50 * time.Millisecond
)

// waitForJob reads the status of a job until its state is final or the wait is over, and
// returns the status that was read last. It returns an error if no status could be read, or
// if a later read fails with another status than 503.
func (f *Front) waitForJob(ctx context.Context, id string, wait time.Duration) (api.JobStatus, *api.Error) {
	end := time.Now().Add(wait)
	var newest *api.JobStatus
	for {
		started := time.Now()
		call := f.newLongPollCall(id, end, newest != nil)
		answer, refusal := relay[protocol.JobAnswer](ctx, f, call)
		switch {
		case refusal == nil:
			newest = &answer.Status
		case newest == nil || refusal.Status != http.StatusServiceUnavailable:
			return api.JobStatus{}, refusal
		}
		if newest.State.Final() || time.Until(end) <= 0 || ctx.Err() != nil {
			return *newest, nil //nolint:nilerr // after a successful read, a later 503 is not the answer
		}
		if time.Since(started) < call.maxWait/2 {
			sleep(ctx, min(minPollInterval, time.Until(end)))
		}
	}
}

// newLongPollCall returns one call of a wait that ends at end. The leader holds each attempt
// for the remainder of the wait, at most maxLongPoll, so that the failure of a leader delays
// the answer by one attempt at most. The call is retried until Settings.Deadline after end; if
// haveStatus, only until lateAnswerGrace after end, since the status that was read before is
// then the answer.
func (f *Front) newLongPollCall(id string, end time.Time, haveStatus bool) relayCall[protocol.GetJobRequest] {
	call := relayCall[protocol.GetJobRequest]{
		method: protocol.MethodGetJob,
		renew: func(call *relayCall[protocol.GetJobRequest]) {
			call.maxWait = min(maxLongPoll, max(0, time.Until(end)))
			call.request = protocol.GetJobRequest{ID: id, WaitMillis: call.maxWait.Milliseconds()}
		},
	}
	call.renew(&call)
	call.deadline = end.Add(f.settings.Load().Deadline)
	if haveStatus {
		call.deadline = end.Add(lateAnswerGrace)
	}
	return call
}
