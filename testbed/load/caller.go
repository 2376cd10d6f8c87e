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
	// pollWait is how long a front may hold a long poll. It is shorter than the 3 s in
	// which a state must be readable, because the client waits anew at the next front
	// when one has failed.
	pollWait = 2 * time.Second
	// callTimeout is how long a caller retries one call at all fronts before it is
	// recorded as unanswered.
	callTimeout = 15 * time.Second
	// pollInterval is the backoff after a poll that failed or was answered early.
	pollInterval = 50 * time.Millisecond

	idleConnections = 256
)

func newTransport() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: idleConnections}}
}

// caller is one caller of the fleet.
type caller struct {
	client  *api.Client
	callLog *calllog.Log
	// seenSucceeded are the tasks that a poll reported as succeeded already.
	seenSucceeded map[string]bool
}

// submit submits a job until there is a final answer. It reports whether the job was
// accepted.
func (c *caller) submit(ctx context.Context, one jobPlan) bool {
	for {
		entry := c.submitOnce(ctx, one, false)
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
func (c *caller) resend(ctx context.Context, one jobPlan) { c.submitOnce(ctx, one, true) }

func (c *caller) submitOnce(ctx context.Context, one jobPlan, resend bool) calllog.Entry {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindSubmit, Sent: monoclock.Now(), JobID: one.id, Spec: &one.spec, Class: one.class, Resend: resend}
	created, err := c.client.SubmitJob(ctx, one.id, one.spec)
	entry.Answered, entry.Created = monoclock.Now(), created
	entry.Code, entry.Error = operator.Refusal(err)
	c.callLog.Add(entry)
	return entry
}

// watch polls a job until it is final. It reports false if the context ended
// before that.
func (c *caller) watch(ctx context.Context, one jobPlan) bool {
	c.seenSucceeded = map[string]bool{}
	for ctx.Err() == nil {
		state := c.poll(ctx, one.id)
		if state.Final() {
			return true
		}
		contexttime.Sleep(ctx, pollInterval)
	}
	return false
}

func (c *caller) poll(ctx context.Context, id string) api.State {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindPoll, Sent: monoclock.Now(), JobID: id, Wait: pollWait}
	status, err := c.client.Job(limited, id, pollWait)
	if ctx.Err() != nil {
		return ""
	}
	entry.Answered, entry.State = monoclock.Now(), status.State
	entry.Code, entry.Error = operator.Refusal(err)
	entry.Succeeded = c.newlySucceeded(status)
	c.callLog.Add(entry)
	return status.State
}

// newlySucceeded returns tasks that no earlier poll reported as succeeded.
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

// cancel cancels a job, until there is an answer or the context ends.
func (c *caller) cancel(ctx context.Context, id string) {
	for ctx.Err() == nil {
		limited, stop := context.WithTimeout(ctx, callTimeout)
		entry := calllog.Entry{Kind: calllog.KindCancel, Sent: monoclock.Now(), JobID: id}
		status, err := c.client.CancelJob(limited, id)
		stop()
		entry.Answered, entry.State = monoclock.Now(), status.State
		entry.Code, entry.Error = operator.Refusal(err)
		c.callLog.Add(entry)
		if err == nil || entry.Code == api.CodeNotFound {
			return
		}
		contexttime.Sleep(ctx, pollInterval)
	}
}
