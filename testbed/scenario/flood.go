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

// Queues of a flood.
const (
	queueQuota    = "quota"
	queueDiscards = "discards"
)

const (
	// baselineParts: the flood begins after that part of the load.
	baselineParts = 3
	floodJobs     = 20_000
	floodWidth    = 32
	floodTimeout  = 2 * time.Minute

	discardedJobs  = 5000
	discardedWidth = 16
	// discardedRunning bounds how many tasks of the jobs to be cancelled run, so that
	// they leave capacity for ordinary work.
	discardedRunning = 20

	// lowPriority is below that of all ordinary queues.
	lowPriority = -500
	// quotaTasks may wait in the queue with a quota. One job of as many keeps
	// it full, less the one task that may run; a job of two is over it.
	quotaTasks     = 10
	overQuotaTasks = 2
	// oversize is the number of workers whose capacity an impossible task needs.
	oversize = 10
)

func prepareFlood(d *deployment.Deployment) {
	d.Config.Queues = append(d.Config.Queues,
		api.QueueConfig{Name: queueQuota, Priority: lowPriority, MaxRunningTasks: 1, MaxPendingTasks: quotaTasks},
		api.QueueConfig{Name: queueDiscards, Priority: lowPriority, MaxRunningTasks: discardedRunning},
	)
}

// flood leaves the ordinary load alone for a third of the time. Then it submits jobs
// that must be rejected as fast as they are, and beside them jobs that are accepted and
// cancelled in bulk.
func flood(ctx context.Context, env Env) error {
	kinds := newFloodTemplates(env.Fleet.Deployment())
	filler := kinds.filler.job(env.Seed, 0)
	env.Callers.Submit(filler)
	if err := sleep(ctx, env.Duration/baselineParts); err != nil {
		return err
	}
	env.Callers.RecordMilestone(calllog.MilestoneFloodStart, monoclock.Now())
	flooding, cancel := context.WithTimeout(ctx, floodTimeout)
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { env.Callers.Flood(flooding, floodWidth, floodJobs, kinds.nextRejected(env.Seed)) })
	var err error
	parts.Go(func() { err = discard(flooding, env, kinds.discarded.jobs(env.Seed, discardedJobs)) })
	parts.Wait()
	env.Callers.RecordMilestone(calllog.MilestoneFloodEnd, monoclock.Now())
	env.Callers.Cancel(ctx, 1, []string{filler.ID})
	return err
}

// floodTemplates are the jobs of a flood.
type floodTemplates struct {
	// filler keeps the queue with a quota full.
	filler jobTemplate
	// rejected are those that cannot be taken.
	rejected []jobTemplate
	// discarded are accepted and then cancelled.
	discarded jobTemplate
}

func newFloodTemplates(d deployment.Deployment) floodTemplates {
	shape := d.Shapes.Short
	small := api.TaskSpec{Service: shape.Service, Resources: api.Resources{CPUMillis: 100, MemoryMB: 64}}
	unknown, large, endless := small, small, small
	unknown.Service = "no-such-service"
	large.Resources.CPUMillis = oversize * workerCapacity(d).CPUMillis
	endless.UntilCancelled = true
	return floodTemplates{
		filler: jobTemplate{name: "filler", class: calllog.ClassBackground, queue: queueQuota, tasks: quotaTasks, task: endless},
		rejected: []jobTemplate{
			{name: "unknown", class: calllog.ClassImpossible, queue: shape.Queue, tasks: 1, task: unknown},
			{name: "large", class: calllog.ClassImpossible, queue: shape.Queue, tasks: 1, task: large},
			{name: "quota", class: calllog.ClassOverQuota, queue: queueQuota, tasks: overQuotaTasks, task: small},
		},
		discarded: jobTemplate{name: "discarded", class: calllog.ClassDiscarded, queue: queueDiscards, tasks: 1, task: endless},
	}
}

// nextRejected returns each kind of refused job in turn.
func (k floodTemplates) nextRejected(seed uint64) func(number int) load.Job {
	return func(number int) load.Job {
		return k.rejected[number%len(k.rejected)].job(seed, number/len(k.rejected))
	}
}

// discard submits jobs, cancels all of their queue in one call, and polls each until it
// is cancelled.
func discard(ctx context.Context, env Env, jobs []load.Job) error {
	accepted := env.Callers.SubmitAll(ctx, discardedWidth, jobs)
	if len(accepted) < len(jobs) {
		return fmt.Errorf("%d of %d jobs to be cancelled were accepted", len(accepted), len(jobs))
	}
	if _, err := env.Callers.CancelQueue(ctx, queueDiscards, accepted); err != nil {
		return fmt.Errorf("cancel all of the queue %s: %w", queueDiscards, err)
	}
	if final := env.Callers.Watch(ctx, discardedWidth, accepted); final < len(accepted) {
		return fmt.Errorf("%d of %d cancelled jobs were seen as final", final, len(accepted))
	}
	return nil
}
