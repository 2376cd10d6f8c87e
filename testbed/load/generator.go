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

// callers is the number of clients that share the load, each of which stays with one
// front while that answers.
const callers = 16

// Config says what to submit and where.
type Config struct {
	// Endpoints are the fronts' base URLs.
	Endpoints []string
	Shapes    deployment.Shapes
	Seed      uint64
	CallLog   *calllog.Log
}

// Counts is how many jobs there are so far.
type Counts struct {
	Submitted int64
	Accepted  int64
	Ended     int64
}

// Generator is all callers of one run. It owns one goroutine for each job that it
// follows, and the connections to the fronts.
type Generator struct {
	config  Config
	clients []*api.Client
	endless []string

	// following bounds the lifetime of all followers; followers counts them.
	following context.Context
	stop      context.CancelFunc
	followers sync.WaitGroup

	submitted, accepted, ended atomic.Int64
}

// New returns a generator. Finish must be called in the end.
func New(config Config) (*Generator, error) {
	g := &Generator{config: config}
	transport := newTransport()
	for range callers {
		client, err := api.NewClient(api.ClientConfig{Endpoints: config.Endpoints, HTTPClient: transport})
		if err != nil {
			return nil, fmt.Errorf("caller: %w", err)
		}
		g.clients = append(g.clients, client)
	}
	g.following, g.stop = context.WithCancel(context.Background())
	return g, nil
}

// Counts returns the numbers so far.
func (g *Generator) Counts() Counts {
	return Counts{Submitted: g.submitted.Load(), Accepted: g.accepted.Load(), Ended: g.ended.Load()}
}

// Run submits the jobs that run until cancelled, and then the others at their rates
// until the context ends.
func (g *Generator) Run(ctx context.Context) {
	shapes := g.config.Shapes
	endless := newPlanner(g.config.Seed, "endless", shapes.UntilCancelled, false)
	for range shapes.UntilCancelledJobs {
		one := endless.next()
		g.endless = append(g.endless, one.id)
		g.follow(one)
	}
	var streams sync.WaitGroup
	streams.Go(func() { g.stream(ctx, newPlanner(g.config.Seed, "short", shapes.Short, true)) })
	streams.Go(func() { g.stream(ctx, newPlanner(g.config.Seed, "batch", shapes.Batch, true)) })
	streams.Wait()
}

// stream submits one planner's jobs. Each is due a drawn time after the one before it
// was due, so that slow answers do not slow the load.
func (g *Generator) stream(ctx context.Context, planner *planner) {
	due := time.Now()
	for {
		one := planner.next()
		due = due.Add(one.interval)
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			g.follow(one)
		}
	}
}

// follow submits a job and polls it until it is final, in a goroutine of its own.
func (g *Generator) follow(one jobPlan) {
	number := g.submitted.Add(1)
	caller := &caller{client: g.clients[number%callers], callLog: g.config.CallLog}
	one.setTime(time.Now())
	g.followers.Go(func() {
		if !caller.submit(g.following, one) {
			return
		}
		g.accepted.Add(1)
		if one.resend {
			caller.resend(g.following, one)
		}
		if caller.watch(g.following, one) {
			g.ended.Add(1)
		}
	})
}

// Finish cancels the jobs that run until cancelled, and waits until all jobs are final
// or the context ends.
func (g *Generator) Finish(ctx context.Context) {
	defer g.stop()
	for index, id := range g.endless {
		caller := &caller{client: g.clients[index%callers], callLog: g.config.CallLog}
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
		g.stop()
		<-done
	}
}
