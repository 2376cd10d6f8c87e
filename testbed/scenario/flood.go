package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/load"
	"github.com/decklever/decklever/testbed/monoclock"
)

// These queues are added to the configuration for the flood.
const (
	queueQuota    = "quota"
	queueDiscards = "discards"
)

const (
	// The flood begins after 1/baselineDivisor of the load's duration.
	baselineDivisor  = 3
	floodJobs        = 20_000
	floodConcurrency = 32
	floodTimeout     = 2 * time.Minute

	discardedJobs        = 5000
	discardedConcurrency = 16
	// discardedMaxRunning bounds the running tasks of the jobs to be cancelled, so that
	// they leave capacity for ordinary jobs.
	discardedMaxRunning = 20

	// lowPriority is lower than the priority of all ordinary queues.
	lowPriority = -500
	// quotaTasks is the maximum of pending tasks in the queue with a quota. The filler job
	// has as many tasks, of which one may run, so a job of overQuotaTasks exceeds the quota.
	quotaTasks     = 10
	overQuotaTasks = 2
	// oversizeFactor is the CPU need of an impossible task, in capacities of a worker.
	oversizeFactor = 10
)

// prepareFlood adds the queues of the flood.
func prepareFlood(d *deployment.Deployment) {
	d.Config.Queues = append(d.Config.Queues,
		api.QueueConfig{Name: queueQuota, Priority: lowPriority, MaxRunningTasks: 1, MaxPendingTasks: quotaTasks},
		api.QueueConfig{Name: queueDiscards, Priority: lowPriority, MaxRunningTasks: discardedMaxRunning},
	)
}

// flood runs only the ordinary load for a third of the time. Then it submits jobs that must
// be rejected, each caller as fast as it gets answers, and concurrently jobs that are
// accepted and then cancelled in one call.
func flood(ctx context.Context, env Env) error {
	templates := newFloodTemplates(env.Fleet.Deployment())
	filler := templates.filler.job(env.Seed, 0)
	env.Callers.Submit(filler)
	if err := sleep(ctx, env.Duration/baselineDivisor); err != nil {
		return err
	}
	env.Callers.RecordMilestone(calllog.MilestoneFloodStart, monoclock.Now())
	floodCtx, cancel := context.WithTimeout(ctx, floodTimeout)
	defer cancel()
	var submissions sync.WaitGroup
	submissions.Go(func() { env.Callers.Flood(floodCtx, floodConcurrency, floodJobs, templates.nextRejected(env.Seed)) })
	var err error
	submissions.Go(func() { err = discard(floodCtx, env, templates.discarded.jobs(env.Seed, discardedJobs)) })
	submissions.Wait()
	env.Callers.RecordMilestone(calllog.MilestoneFloodEnd, monoclock.Now())
	env.Callers.Cancel(ctx, 1, []string{filler.ID})
	return err
}

// floodTemplates contains the templates of the flood's jobs.
type floodTemplates struct {
	// filler is the job that uses the quota of its queue.
	filler jobTemplate
	// rejected are the templates of jobs that must be rejected.
	rejected []jobTemplate
	// discarded is the template of jobs that are accepted and then cancelled.
	discarded jobTemplate
}

// newFloodTemplates returns the templates for a deployment.
func newFloodTemplates(d deployment.Deployment) floodTemplates {
	shape := d.Shapes.Short
	small := api.TaskSpec{Service: shape.Service, Resources: api.Resources{CPUMillis: 100, MemoryMB: 64}}
	unknownService, tooLarge, untilCancelled := small, small, small
	unknownService.Service = "no-such-service"
	tooLarge.Resources.CPUMillis = oversizeFactor * workerCapacity(d).CPUMillis
	untilCancelled.UntilCancelled = true
	return floodTemplates{
		filler: jobTemplate{name: "filler", class: calllog.ClassBackground, queue: queueQuota, tasks: quotaTasks, task: untilCancelled},
		rejected: []jobTemplate{
			{name: "unknown", class: calllog.ClassImpossible, queue: shape.Queue, tasks: 1, task: unknownService},
			{name: "large", class: calllog.ClassImpossible, queue: shape.Queue, tasks: 1, task: tooLarge},
			{name: "quota", class: calllog.ClassOverQuota, queue: queueQuota, tasks: overQuotaTasks, task: small},
		},
		discarded: jobTemplate{name: "discarded", class: calllog.ClassDiscarded, queue: queueDiscards, tasks: 1, task: untilCancelled},
	}
}

// nextRejected returns a function that maps the number of a job to the job. Consecutive numbers
// cycle through the rejected templates.
func (t floodTemplates) nextRejected(seed uint64) func(number int) load.Job {
	return func(number int) load.Job {
		return t.rejected[number%len(t.rejected)].job(seed, number/len(t.rejected))
	}
}

// discard submits jobs, cancels their queue in one call, and polls each job until it is
// final.
func discard(ctx context.Context, env Env, jobs []load.Job) error {
	accepted := env.Callers.SubmitAll(ctx, discardedConcurrency, jobs)
	if len(accepted) < len(jobs) {
		return fmt.Errorf("%d of %d jobs to be cancelled were accepted", len(accepted), len(jobs))
	}
	if _, err := env.Callers.CancelQueue(ctx, queueDiscards, accepted); err != nil {
		return fmt.Errorf("cancel all of the queue %s: %w", queueDiscards, err)
	}
	if final := env.Callers.Watch(ctx, discardedConcurrency, accepted); final < len(accepted) {
		return fmt.Errorf("%d of %d cancelled jobs were reported as final", final, len(accepted))
	}
	return nil
}
