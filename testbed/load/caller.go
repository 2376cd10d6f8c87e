package load

import (
	"context"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/operator"
)

const (
	// pollWait is the longest wait of a long poll at a front. It is shorter than the 3 s
	// within which a state must be readable, because the client starts a new wait at the
	// next front when one has failed.
	pollWait = 2 * time.Second
	// callTimeout bounds the retries of one call at all fronts; after it, the call is
	// recorded as unanswered.
	callTimeout = 15 * time.Second
	// pollInterval is the backoff after a poll that failed or found the job not final,
	// and after a failed cancellation.
	pollInterval = 50 * time.Millisecond

	// idleConnections is the limit of idle connections per front.
	idleConnections = 256
)

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: idleConnections}}
}

// caller submits, polls and cancels jobs, and records each call in the call log.
type caller struct {
	client  *api.Client
	callLog *calllog.Log
	// seenSucceeded has the tasks that a poll of the watched job reported as succeeded.
	seenSucceeded map[string]bool
}

// submit submits a job. It retries while the service is unavailable or the outcome unknown,
// until the context ends, and reports whether the job was accepted.
func (c *caller) submit(ctx context.Context, plan jobPlan) bool {
	for {
		entry := c.submitOnce(ctx, plan, false)
		switch {
		case entry.Accepted():
			return true
		case entry.Code != api.CodeUnavailable && entry.Code != api.CodeOutcomeUnknown:
			return false
		case ctx.Err() != nil:
			return false
		}
	}
}

// resend submits an accepted job once more.
func (c *caller) resend(ctx context.Context, plan jobPlan) { c.submitOnce(ctx, plan, true) }

func (c *caller) submitOnce(ctx context.Context, plan jobPlan, resend bool) calllog.Entry {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindSubmit, Sent: monoclock.Now(), JobID: plan.id, Spec: &plan.spec, Class: plan.class, Resend: resend}
	created, err := c.client.SubmitJob(ctx, plan.id, plan.spec)
	entry.Answered, entry.Created = monoclock.Now(), created
	entry.Code, entry.Error = operator.ErrorFields(err)
	c.callLog.Add(entry)
	return entry
}

// watch polls a job until its state is final. It returns false if the context ended
// before that.
func (c *caller) watch(ctx context.Context, plan jobPlan) bool {
	c.seenSucceeded = map[string]bool{}
	for ctx.Err() == nil {
		state := c.poll(ctx, plan.id)
		if state.Final() {
			return true
		}
		contexttime.Sleep(ctx, pollInterval)
	}
	return false
}

func (c *caller) poll(ctx context.Context, id string) api.State {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindPoll, Sent: monoclock.Now(), JobID: id, Wait: pollWait}
	status, err := c.client.Job(callCtx, id, pollWait)
	if ctx.Err() != nil {
		return ""
	}
	entry.Answered, entry.State = monoclock.Now(), status.State
	entry.Code, entry.Error = operator.ErrorFields(err)
	entry.Succeeded = c.newlySucceeded(status)
	c.callLog.Add(entry)
	return status.State
}

// newlySucceeded returns the succeeded tasks that no earlier poll reported, and adds them
// to seenSucceeded.
func (c *caller) newlySucceeded(status api.JobStatus) []string {
	var tasks []string
	for _, step := range status.Steps {
		for _, task := range step.Tasks {
			if task.State == api.StateSucceeded && !c.seenSucceeded[task.Task] {
				c.seenSucceeded[task.Task] = true
				tasks = append(tasks, task.Task)
			}
		}
	}
	return tasks
}

// cancel cancels a job. It retries until the job is cancelled or not found, or the
// context ends.
func (c *caller) cancel(ctx context.Context, id string) {
	for ctx.Err() == nil {
		callCtx, stop := context.WithTimeout(ctx, callTimeout)
		entry := calllog.Entry{Kind: calllog.KindCancel, Sent: monoclock.Now(), JobID: id}
		status, err := c.client.CancelJob(callCtx, id)
		stop()
		entry.Answered, entry.State = monoclock.Now(), status.State
		entry.Code, entry.Error = operator.ErrorFields(err)
		c.callLog.Add(entry)
		if err == nil || entry.Code == api.CodeNotFound {
			return
		}
		contexttime.Sleep(ctx, pollInterval)
	}
}
