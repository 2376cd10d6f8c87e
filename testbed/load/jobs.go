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

// Job is a job that a scenario submits in addition to the ordinary load.
type Job struct {
	ID    string
	Spec  api.JobSpec
	Class calllog.Class
}

func (j Job) jobPlan() jobPlan { return jobPlan{id: j.ID, spec: j.Spec, class: j.Class} }

// Submit submits a job and polls it until it is final, in a goroutine of its own.
func (g *Generator) Submit(job Job) { g.follow(job.jobPlan()) }

// SubmitAll submits jobs, at most concurrency at a time, and returns the ids of those
// accepted. It retries submissions that a limit rejects. It does not poll the jobs.
func (g *Generator) SubmitAll(ctx context.Context, concurrency int, jobs []Job) []string {
	accepted := make([]bool, len(jobs))
	g.forEach(concurrency, len(jobs), func(index int) {
		g.submitted.Add(1)
		accepted[index] = g.newCaller(index).retryOverLimit(ctx, jobs[index].jobPlan())
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

// retryOverLimit submits a job until it is accepted, it is rejected for a reason other
// than a limit, or the context ends. It reports whether the job was accepted.
func (c *caller) retryOverLimit(ctx context.Context, plan jobPlan) bool {
	for ctx.Err() == nil {
		entry := c.submitOnce(ctx, plan, false)
		switch {
		case entry.Accepted():
			return true
		case entry.Code == api.CodeOverLimit:
			contexttime.Sleep(ctx, overLimitBackoff)
		case entry.Code != api.CodeUnavailable && entry.Code != api.CodeOutcomeUnknown:
			return false
		}
	}
	return false
}

// Watch polls jobs, at most concurrency at a time, until they are final. It returns the
// number of final jobs, which is less than all if the context ended first.
func (g *Generator) Watch(ctx context.Context, concurrency int, ids []string) int {
	var final atomic.Int64
	g.forEach(concurrency, len(ids), func(index int) {
		if g.newCaller(index).watch(ctx, jobPlan{id: ids[index]}) {
			final.Add(1)
		}
	})
	g.ended.Add(final.Load())
	return int(final.Load())
}

// Cancel cancels jobs with one call per job, at most concurrency at a time.
func (g *Generator) Cancel(ctx context.Context, concurrency int, ids []string) {
	g.forEach(concurrency, len(ids), func(index int) { g.newCaller(index).cancel(ctx, ids[index]) })
}

// CancelQueue cancels all jobs of a queue in one call, which the client retries until it
// is answered, and returns how many jobs were cancelled. The ids must be those of the
// queue's accepted jobs; the call log gets one entry for each.
func (g *Generator) CancelQueue(ctx context.Context, queue string, ids []string) (int, error) {
	sent := monoclock.Now()
	cancelled, err := g.clients[0].CancelJobs(ctx, api.CancelRequest{Queue: queue})
	entry := calllog.Entry{Kind: calllog.KindCancel, Sent: sent, Answered: monoclock.Now()}
	entry.Code, entry.Error = operator.ErrorFields(err)
	for _, id := range ids {
		entry.JobID = id
		g.config.CallLog.Add(entry)
	}
	return cancelled, err
}

// RecordMilestone records in the call log that the scenario reached a milestone.
func (g *Generator) RecordMilestone(milestone calllog.Milestone, at monoclock.Nanos) {
	g.config.CallLog.Add(calllog.Entry{Kind: calllog.KindMilestone, Sent: at, Answered: at, Milestone: milestone})
}

// newCaller returns a caller for a job; number selects the client.
func (g *Generator) newCaller(number int) *caller {
	return &caller{client: g.clients[number%clientCount], callLog: g.config.CallLog}
}

// forEach calls visit for every index below count, at most concurrency at a time, and
// waits for all calls.
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
