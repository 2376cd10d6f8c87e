package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
)

// clientCount is the number of clients that share the load. Each client uses the same
// front as long as that front answers.
const clientCount = 16

// Config configures a Generator.
type Config struct {
	// Endpoints are the fronts' base URLs.
	Endpoints []string
	Shapes    deployment.Shapes
	Seed      uint64
	CallLog   *calllog.Log
}

// Counts are the numbers of jobs so far. Ended counts jobs polled to their final state.
type Counts struct {
	Submitted int64
	Accepted  int64
	Ended     int64
}

// Generator generates the load of one run. It owns the connections to the fronts and one
// goroutine (a follower) for each job that it polls until the job is final.
type Generator struct {
	config            Config
	clients           []*api.Client
	untilCancelledIDs []string

	// followCtx bounds the lifetime of all followers; followers waits for their end.
	followCtx     context.Context
	stopFollowers context.CancelFunc
	followers     sync.WaitGroup

	submitted, accepted, ended atomic.Int64
}

// New returns a generator. The caller must call Finish at the end.
func New(config Config) (*Generator, error) {
	g := &Generator{config: config}
	httpClient := newHTTPClient()
	for range clientCount {
		client, err := api.NewClient(api.ClientConfig{Endpoints: config.Endpoints, HTTPClient: httpClient})
		if err != nil {
			return nil, fmt.Errorf("caller: %w", err)
		}
		g.clients = append(g.clients, client)
	}
	g.followCtx, g.stopFollowers = context.WithCancel(context.Background())
	return g, nil
}

// Counts returns the current counts.
func (g *Generator) Counts() Counts {
	return Counts{Submitted: g.submitted.Load(), Accepted: g.accepted.Load(), Ended: g.ended.Load()}
}

// Run first submits the jobs that run until cancelled, and then short and batch jobs at
// their rates until the context ends.
func (g *Generator) Run(ctx context.Context) {
	shapes := g.config.Shapes
	untilCancelled := newPlanner(g.config.Seed, "endless", shapes.UntilCancelled, false)
	for range shapes.UntilCancelledJobs {
		plan := untilCancelled.next()
		g.untilCancelledIDs = append(g.untilCancelledIDs, plan.id)
		g.follow(plan)
	}
	var streams sync.WaitGroup
	streams.Go(func() { g.stream(ctx, newPlanner(g.config.Seed, "short", shapes.Short, true)) })
	streams.Go(func() { g.stream(ctx, newPlanner(g.config.Seed, "batch", shapes.Batch, true)) })
	streams.Wait()
}

// stream submits one planner's jobs until the context ends. Each job is due a random
// interval after the previous one was due, so that slow answers do not reduce the rate.
func (g *Generator) stream(ctx context.Context, planner *planner) {
	due := time.Now()
	for {
		plan := planner.next()
		due = due.Add(plan.interval)
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			g.follow(plan)
		}
	}
}

// follow submits a job and polls it until it is final, in a goroutine of its own.
func (g *Generator) follow(plan jobPlan) {
	number := g.submitted.Add(1)
	caller := &caller{client: g.clients[number%clientCount], callLog: g.config.CallLog}
	plan.setNotBefore(time.Now())
	g.followers.Go(func() {
		if !caller.submit(g.followCtx, plan) {
			return
		}
		g.accepted.Add(1)
		if plan.resend {
			caller.resend(g.followCtx, plan)
		}
		if caller.watch(g.followCtx, plan) {
			g.ended.Add(1)
		}
	})
}

// Finish cancels the jobs that run until cancelled, and waits until all jobs are final
// or the context ends.
func (g *Generator) Finish(ctx context.Context) {
	defer g.stopFollowers()
	for index, id := range g.untilCancelledIDs {
		caller := &caller{client: g.clients[index%clientCount], callLog: g.config.CallLog}
		caller.cancel(ctx, id)
	}
	done := make(chan struct{})
	go func() {
		g.followers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		g.stopFollowers()
		<-done
	}
}
