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
	// quietParts: the flood begins after that part of the load.
	quietParts   = 3
	floodJobs    = 20_000
	floodWidth   = 32
	floodTimeout = 2 * time.Minute

	discardedJobs  = 5000
	discardedWidth = 16
	// discardedRunning bounds how many tasks of the jobs to be cancelled run,
	// so that they leave the room to ordinary work.
	discardedRunning = 20

	// lowPriority is below that of all ordinary queues.
	lowPriority = -500
	// quotaTasks may wait in the queue with a quota. One job of as many keeps
	// it full, less the one task that may run; a job of two is over it.
	quotaTasks     = 10
	overQuotaTasks = 2
	// oversize is how many times a worker's room an impossible task asks for.
	oversize = 10
)

func prepareFlood(d *deployment.Deployment) {
	d.Config.Queues = append(d.Config.Queues,
		api.QueueConfig{Name: queueQuota, Priority: lowPriority, MaxRunningTasks: 1, MaxPendingTasks: quotaTasks},
		api.QueueConfig{Name: queueDiscards, Priority: lowPriority, MaxRunningTasks: discardedRunning},
	)
}

// flood leaves the ordinary load alone for a third of the time. Then it hands
// in jobs that must be refused as fast as they are, and beside them jobs that
// are accepted and cancelled in mass.
func flood(ctx context.Context, bench Bench) error {
	kinds := floodKinds(bench.Fleet.Deployment())
	filler := kinds.filler.job(bench.Seed, 0)
	bench.Callers.HandIn(filler)
	if err := pause(ctx, bench.Duration/quietParts); err != nil {
		return err
	}
	bench.Callers.Mark(calllog.MarkFloodStart, monoclock.Now())
	flooding, cancel := context.WithTimeout(ctx, floodTimeout)
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { bench.Callers.Flood(flooding, floodWidth, floodJobs, kinds.nextRefused(bench.Seed)) })
	var err error
	parts.Go(func() { err = discard(flooding, bench, kinds.discarded.jobs(bench.Seed, discardedJobs)) })
	parts.Wait()
	bench.Callers.Mark(calllog.MarkFloodEnd, monoclock.Now())
	bench.Callers.Cancel(ctx, 1, []string{filler.ID})
	return err
}

// kinds are the jobs of a flood.
type kinds struct {
	// filler keeps the queue with a quota full.
	filler kind
	// refused are those that cannot be taken.
	refused []kind
	// discarded are accepted and then cancelled.
	discarded kind
}

func floodKinds(d deployment.Deployment) kinds {
	shape := d.Shapes.Short
	small := api.TaskSpec{Service: shape.Service, Resources: api.Resources{CPUMillis: 100, MemoryMB: 64}}
	unknown, large, endless := small, small, small
	unknown.Service = "no-such-service"
	large.Resources.CPUMillis = oversize * capacity(d).CPUMillis
	endless.UntilCancelled = true
	return kinds{
		filler: kind{name: "filler", class: calllog.ClassBackground, queue: queueQuota, tasks: quotaTasks, task: endless},
		refused: []kind{
			{name: "unknown", class: calllog.ClassImpossible, queue: shape.Queue, tasks: 1, task: unknown},
			{name: "large", class: calllog.ClassImpossible, queue: shape.Queue, tasks: 1, task: large},
			{name: "quota", class: calllog.ClassOverQuota, queue: queueQuota, tasks: overQuotaTasks, task: small},
		},
		discarded: kind{name: "discarded", class: calllog.ClassDiscarded, queue: queueDiscards, tasks: 1, task: endless},
	}
}

// nextRefused returns each kind of refused job in turn.
func (k kinds) nextRefused(seed uint64) func(number int) load.Job {
	return func(number int) load.Job {
		return k.refused[number%len(k.refused)].job(seed, number/len(k.refused))
	}
}

// discard hands in jobs, cancels all of their queue in one call, and reads
// each until it is cancelled.
func discard(ctx context.Context, bench Bench, jobs []load.Job) error {
	accepted := bench.Callers.HandInAll(ctx, discardedWidth, jobs)
	if len(accepted) < len(jobs) {
		return fmt.Errorf("%d of %d jobs to be cancelled were accepted", len(accepted), len(jobs))
	}
	if _, err := bench.Callers.CancelQueue(ctx, queueDiscards, accepted); err != nil {
		return fmt.Errorf("cancel all of the queue %s: %w", queueDiscards, err)
	}
	if final := bench.Callers.Watch(ctx, discardedWidth, accepted); final < len(accepted) {
		return fmt.Errorf("%d of %d cancelled jobs were seen as final", final, len(accepted))
	}
	return nil
}
