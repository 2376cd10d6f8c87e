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
	// jobsPerSecond is the rate of plain jobs; it is higher where a job would need more
	// than maxJobTasks tasks, and lower where one would need less than one task.
	jobsPerSecond = 4
	maxJobTasks   = 50
	// durationSpread is the largest relative deviation of a task's run time from its mean.
	durationSpread     = 0.1
	urgentInterval     = 500 * time.Millisecond
	urgentTaskDuration = 200 * time.Millisecond
	urgentPriority     = 1000
	pollWait           = 2 * time.Second
	callTimeout        = 15 * time.Second
	maxIdlePerHost     = 256
)

// callers submits jobs and follows each until it is final.
type callers struct {
	size    Size
	seed    uint64
	callLog *calllog.Log
	client  *api.Client
	// cancelOpen is closed to make all open jobs be cancelled.
	cancelOpen chan struct{}
	jobs       sync.WaitGroup
}

func newCallers(config Config, endpoints []string, callLog *calllog.Log) (*callers, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}
	client, err := api.NewClient(api.ClientConfig{Endpoints: endpoints, HTTPClient: &http.Client{Transport: transport}})
	if err != nil {
		return nil, fmt.Errorf("create the callers' client: %w", err)
	}
	return &callers{size: config.Size, seed: config.Seed, callLog: callLog, client: client, cancelOpen: make(chan struct{})}, nil
}

// run submits jobs until loadCtx ends. Jobs are followed until followCtx ends. It returns
// when the submissions have stopped; finish waits for the jobs.
func (c *callers) run(loadCtx, followCtx context.Context) {
	var streams sync.WaitGroup
	for number, jobStream := range c.size.streams() {
		streams.Go(func() { c.runStream(loadCtx, followCtx, jobStream, uint64(number)) })
	}
	streams.Wait()
}

func (c *callers) runStream(loadCtx, followCtx context.Context, jobStream stream, number uint64) {
	random := rand.New(rand.NewPCG(c.seed, number))
	ticker := time.NewTicker(jobStream.interval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-loadCtx.Done():
			return
		case <-ticker.C:
			id := fmt.Sprintf("%s-%06d", jobStream.name, count)
			spec := jobStream.job(random)
			c.jobs.Go(func() { c.follow(followCtx, id, spec, jobStream.taskDuration) })
		}
	}
}

// finish cancels all open jobs and waits until no job is followed any more.
func (c *callers) finish() {
	close(c.cancelOpen)
	c.jobs.Wait()
}

// follow submits a job, waits for the longest run time of its tasks, and then polls the
// job until it is final. Polling from the start would put more load on the fleet than
// its users do. Once cancelOpen is closed it cancels the job.
func (c *callers) follow(ctx context.Context, id string, spec api.JobSpec, taskDuration time.Duration) {
	if !c.submit(ctx, id, spec) {
		return
	}
	expected := time.NewTimer(time.Duration(float64(taskDuration) * (1 + durationSpread)))
	defer expected.Stop()
	cancelOpen := c.cancelOpen
	select {
	case <-expected.C:
	case <-cancelOpen:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		select {
		case <-cancelOpen:
			c.cancel(ctx, id)
			cancelOpen = nil
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
	entry.Code, entry.Error = operator.ErrorFields(err)
	c.callLog.Add(entry)
}
