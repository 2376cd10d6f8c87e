package front

import (
	"context"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
)

const (
	// maxHeld is how long one call of a held read is held by the leader; a
	// longer wait is made of several, so that a change of leader goes unnoticed.
	maxHeld = 2 * time.Second
	// afterWait is how long the answer to the last call of a wait may be late
	// before the state read earlier in the same wait is answered.
	afterWait = 200 * time.Millisecond
	// earlyPause keeps a leader that answers without holding from being asked
	// without end.
	earlyPause = 50 * time.Millisecond
)

// waitForJob reads a job until it is final or the wait is over; then the
// answer is the newest state that was read during the wait.
func (f *Front) waitForJob(ctx context.Context, id string, wait time.Duration) (api.JobStatus, *api.Error) {
	end := time.Now().Add(wait)
	var newest *api.JobStatus
	for {
		started := time.Now()
		held := min(maxHeld, max(0, end.Sub(started)))
		answer, refusal := relay[fleet.GetJobRequest, fleet.JobAnswer](ctx, f, f.heldRead(id, held, end, newest != nil))
		switch {
		case refusal == nil:
			newest = &answer.Status
		case newest == nil || refusal.Status != http.StatusServiceUnavailable:
			return api.JobStatus{}, refusal
		}
		if newest.State.Final() || time.Until(end) <= 0 || ctx.Err() != nil {
			return *newest, nil
		}
		if time.Since(started) < held/2 {
			sleep(ctx, min(earlyPause, time.Until(end)))
		}
	}
}

// heldRead is one call of a wait. Once a state is known, no call goes on for
// longer than the wait.
func (f *Front) heldRead(id string, held time.Duration, end time.Time, known bool) relayCall[fleet.GetJobRequest] {
	call := relayCall[fleet.GetJobRequest]{
		method:  fleet.MethodGetJob,
		request: fleet.GetJobRequest{ID: id, WaitMillis: held.Milliseconds()},
		held:    held,
	}
	if known {
		call.deadline = earlier(end.Add(afterWait), time.Now().Add(f.settings.Load().Deadline+held))
	}
	return call
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
