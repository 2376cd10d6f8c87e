package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/operator"
)

const (
	// jobsPerSecond is the rate of plain jobs, as far as maxJobTasks allows.
	jobsPerSecond = 4
	maxJobTasks   = 50
	// lengthSpread: a task runs up to this part longer or shorter.
	lengthSpread   = 0.1
	urgentInterval = 500 * time.Millisecond
	urgentLength   = 200 * time.Millisecond
	urgentPriority = 1000
	pollWait       = 2 * time.Second
	callTimeout    = 15 * time.Second
	idlePerHost    = 256
)

// callers submit jobs and follow each to its end.
type callers struct {
	size   Size
	seed   uint64
	calls  *calllog.Log
	client *api.Client
	// closing is closed when open jobs are to be cancelled.
	closing chan struct{}
	jobs    sync.WaitGroup
}

func newCallers(config Config, endpoints []string, calls *calllog.Log) (*callers, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerHost}
	client, err := api.NewClient(api.ClientConfig{Endpoints: endpoints, HTTPClient: &http.Client{Transport: transport}})
	if err != nil {
		return nil, fmt.Errorf("client of the callers: %w", err)
	}
	return &callers{size: config.Size, seed: config.Seed, calls: calls, client: client, closing: make(chan struct{})}, nil
}

// run submits jobs until loading ends; following bounds how long they are followed.
func (c *callers) run(loading, following context.Context) {
	var streams sync.WaitGroup
	for number, one := range c.size.streams() {
		streams.Go(func() { c.runStream(loading, following, one, uint64(number)) })
	}
	streams.Wait()
}

func (c *callers) runStream(loading, following context.Context, one stream, number uint64) {
	random := rand.New(rand.NewPCG(c.seed, number))
	ticker := time.NewTicker(one.interval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-loading.Done():
			return
		case <-ticker.C:
			id := fmt.Sprintf("%s-%06d", one.name, count)
			spec := one.job(random)
			c.jobs.Go(func() { c.follow(following, id, spec, one.length) })
		}
	}
}

// finish cancels what is open and waits for the end of all jobs.
func (c *callers) finish() {
	close(c.closing)
	c.jobs.Wait()
}

// follow submits a job, waits for as long as its tasks run, and then polls it until it
// is final. Polling it all the time would be more load on the fleet than its users
// make.
func (c *callers) follow(ctx context.Context, id string, spec api.JobSpec, length time.Duration) {
	if !c.submit(ctx, id, spec) {
		return
	}
	expected := time.NewTimer(time.Duration(float64(length) * (1 + lengthSpread)))
	defer expected.Stop()
	closing := c.closing
	select {
	case <-expected.C:
	case <-closing:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		select {
		case <-closing:
			c.cancel(ctx, id)
			closing = nil
		default:
		}
		if c.poll(ctx, id).Final() {
			return
		}
	}
}

func (c *callers) submit(ctx context.Context, id string, spec api.JobSpec) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindSubmit, Sent: monoclock.Now(), JobID: id, Spec: &spec}
	created, err := c.client.SubmitJob(ctx, id, spec)
	entry.Created = created
	c.record(entry, err)
	return err == nil
}

func (c *callers) poll(ctx context.Context, id string) api.State {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindPoll, Sent: monoclock.Now(), JobID: id, Wait: pollWait}
	status, err := c.client.Job(ctx, id, pollWait)
	entry.State = status.State
	c.record(entry, err)
	return status.State
}

func (c *callers) cancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindCancel, Sent: monoclock.Now(), JobID: id}
	status, err := c.client.CancelJob(ctx, id)
	entry.State = status.State
	c.record(entry, err)
}

func (c *callers) record(entry calllog.Entry, err error) {
	entry.Answered = monoclock.Now()
	entry.Code, entry.Error = operator.Refusal(err)
	c.calls.Add(entry)
}
