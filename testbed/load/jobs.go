package load

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/operator"
)

// Job is one that a scenario submits beside the ordinary load.
type Job struct {
	ID    string
	Spec  api.JobSpec
	Class calllog.Class
}

func (j Job) jobPlan() jobPlan { return jobPlan{id: j.ID, spec: j.Spec, class: j.Class} }

// Submit submits a job and polls it until it is final, in a goroutine of its own.
func (g *Generator) Submit(job Job) { g.follow(job.jobPlan()) }

// SubmitAll submits jobs from that many callers at once and returns the ids of those
// accepted. It retries while a limit rejects a job, and it does not watch the jobs.
func (g *Generator) SubmitAll(ctx context.Context, concurrency int, jobs []Job) []string {
	accepted := make([]bool, len(jobs))
	g.forEach(concurrency, len(jobs), func(index int) {
		g.submitted.Add(1)
		accepted[index] = g.caller(index).retryOverLimit(ctx, jobs[index].jobPlan())
	})
	var ids []string
	for index, job := range jobs {
		if accepted[index] {
			ids = append(ids, job.ID)
		}
	}
	g.accepted.Add(int64(len(ids)))
	return ids
}

// retryOverLimit submits a job until it is accepted, rejected for another reason
// than a limit, or the context ends.
func (c *caller) retryOverLimit(ctx context.Context, one jobPlan) bool {
	for ctx.Err() == nil {
		entry := c.submitOnce(ctx, one, false)
		switch {
		case entry.Accepted():
			return true
		case entry.Code == api.CodeOverLimit:
			contexttime.Sleep(ctx, limitBackoff)
		case entry.Code != api.CodeUnavailable && entry.Code != api.CodeOutcomeUnknown:
			return false
		}
	}
	return false
}

// Watch polls each job, that many at once, until it is final. It returns how many are;
// fewer than all if the context ended before.
func (g *Generator) Watch(ctx context.Context, concurrency int, ids []string) int {
	var final atomic.Int64
	g.forEach(concurrency, len(ids), func(index int) {
		if g.caller(index).watch(ctx, jobPlan{id: ids[index]}) {
			final.Add(1)
		}
	})
	g.ended.Add(final.Load())
	return int(final.Load())
}

// Cancel cancels jobs one by one, that many at once.
func (g *Generator) Cancel(ctx context.Context, concurrency int, ids []string) {
	g.forEach(concurrency, len(ids), func(index int) { g.caller(index).cancel(ctx, ids[index]) })
}

// CancelQueue cancels all jobs of a queue in one call, and retries until there is an
// answer. The call log gets one entry for each of the ids, which are the queue's
// accepted jobs. It returns how many jobs the call cancelled.
func (g *Generator) CancelQueue(ctx context.Context, queue string, ids []string) (int, error) {
	sent := monoclock.Now()
	cancelled, err := g.clients[0].CancelJobs(ctx, api.CancelRequest{Queue: queue})
	entry := calllog.Entry{Kind: calllog.KindCancel, Sent: sent, Answered: monoclock.Now()}
	entry.Code, entry.Error = operator.Refusal(err)
	for _, id := range ids {
		entry.JobID = id
		g.config.CallLog.Add(entry)
	}
	return cancelled, err
}

// RecordMilestone records a time of the scenario.
func (g *Generator) RecordMilestone(milestone calllog.Milestone, at monoclock.Nanos) {
	g.config.CallLog.Add(calllog.Entry{Kind: calllog.KindMilestone, Sent: at, Answered: at, Milestone: milestone})
}

// caller returns a caller for the job of that number.
func (g *Generator) caller(number int) *caller {
	return &caller{client: g.clients[number%callers], callLog: g.config.CallLog}
}

// forEach calls visit for every index below count, that many at once.
func (g *Generator) forEach(concurrency, count int, visit func(index int)) {
	var group errgroup.Group
	group.SetLimit(concurrency)
	for index := range count {
		group.Go(func() error {
			visit(index)
			return nil
		})
	}
	// No visit returns an error.
	_ = group.Wait()
}
