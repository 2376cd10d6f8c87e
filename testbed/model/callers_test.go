package model

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/operator"
)

const (
	queueName = "q"
	// pollWait is the longest time for which a front may delay the answer to a long poll.
	pollWait = 2 * time.Second
	// callTimeout bounds one call, including its retries at all fronts.
	callTimeout = 15 * time.Second
	retryPause  = 50 * time.Millisecond
	// longTaskDuration is longer than a worker's lease.
	longTaskDuration = 4 * time.Second
	// untilCancelledDuration is the time after which callers cancel jobs that run until
	// cancelled.
	untilCancelledDuration = 5 * time.Second
	// completionTimeout bounds the time from the end of the load until all jobs are final.
	completionTimeout = 60 * time.Second
)

// load describes the jobs that callers submit, spread evenly over duration.
type load struct {
	duration time.Duration
	jobs     int
	// resentShare and cancelledShare are the shares of the jobs that callers submit twice
	// and cancel, from 0 to 1.
	resentShare, cancelledShare float64
}

// plannedJob is one job of a load. submitAfter counts from the start of the load,
// cancelAfter from the acceptance of the job; the job is not cancelled if it is 0.
type plannedJob struct {
	id             string
	spec           api.JobSpec
	submitAfter    time.Duration
	resent         bool
	cancelAfter    time.Duration
	untilCancelled bool
}

// plan draws the jobs of a load from the scenario's seed.
func (f *fleet) plan(work load) []plannedJob {
	random := rand.New(rand.NewPCG(f.seed, 0x6c6f6164))
	var jobs []plannedJob
	for number := range work.jobs {
		one := plannedJob{id: fmt.Sprintf("job-%d", number), submitAfter: work.duration * time.Duration(number) / time.Duration(work.jobs)}
		one.spec, one.untilCancelled = f.drawJob(random)
		one.resent = random.Float64() < work.resentShare
		if one.untilCancelled {
			one.cancelAfter = untilCancelledDuration
		} else if random.Float64() < work.cancelledShare {
			one.cancelAfter = time.Duration(1 + random.Int64N(int64(time.Second)))
		}
		jobs = append(jobs, one)
	}
	return jobs
}

// drawJob draws a job of one of five kinds: two dependent steps of short tasks, tasks
// longer than a lease, tasks with a spread rule, a gang, and tasks that run until
// cancelled.
func (f *fleet) drawJob(random *rand.Rand) (spec api.JobSpec, untilCancelled bool) {
	work := 200 + random.Int64N(800)
	switch draw := random.IntN(10); {
	case draw < 4:
		first := step("first", 4+random.IntN(6), payload{WorkMillis: work})
		second := step("second", 2+random.IntN(6), payload{WorkMillis: work})
		second.After = []string{first.Name}
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{first, second}}, false
	case draw < 5:
		long := step("long", 6+random.IntN(5), payload{WorkMillis: longTaskDuration.Milliseconds() + 4*work})
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{long}}, false
	case draw < 7:
		spreadStep := step("apart", 4+random.IntN(4), payload{WorkMillis: work})
		spreadStep.Tasks[0].Spread = &api.Spread{By: api.SpreadByWorker}
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{spreadStep}}, false
	case draw < 9:
		size := 4 + random.IntN(5)
		gang := step("gang", size, payload{WorkMillis: 2 * work, Gang: size})
		gang.Lockstep = true
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{gang}}, false
	default:
		untilCancelledStep := step("lasting", 3, payload{Endless: true})
		untilCancelledStep.Tasks[0].UntilCancelled = true
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{untilCancelledStep}}, true
	}
}

// step returns a step of count equal tasks.
func step(name string, count int, work payload) api.StepSpec {
	content, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	task := api.TaskSpec{
		Service: serviceName, Payload: content, Resources: api.Resources{CPUMillis: 1000, MemoryMB: 500},
		Estimate: api.Duration(time.Duration(work.WorkMillis) * time.Millisecond),
	}
	return api.StepSpec{Name: name, Replicas: count, Tasks: []api.TaskSpec{task}}
}

// newClient returns a client of all fronts. loseAnswer draws whether an answer to the
// client is lost; with nil none is.
func (f *fleet) newClient(loseAnswer func() bool) *api.Client {
	var endpoints []string
	for name := range f.fronts {
		endpoints = append(endpoints, "http://"+name)
	}
	slices.Sort(endpoints)
	client, err := api.NewClient(api.ClientConfig{
		Endpoints: endpoints,
		HTTPClient: &http.Client{Transport: handlerTransport{loseAnswer: loseAnswer, handler: func(request *http.Request) http.Handler {
			return f.fronts[request.URL.Host].front
		}}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return client
}

// submitLoad submits the jobs of a load and follows each until it is final.
func (f *fleet) submitLoad(ctx context.Context, work load) {
	ctx, cancel := context.WithTimeout(ctx, work.duration+completionTimeout)
	defer cancel()
	client := f.newClient(nil)
	var callers sync.WaitGroup
	for _, one := range f.plan(work) {
		callers.Go(func() {
			contexttime.Sleep(ctx, one.submitAfter)
			(&caller{fleet: f, client: client, reportedSucceeded: map[string]bool{}}).follow(ctx, one)
		})
	}
	callers.Wait()
}

// caller submits one job and follows it until it is final.
type caller struct {
	fleet  *fleet
	client *api.Client
	// reportedSucceeded contains the tasks that an earlier poll showed as succeeded.
	reportedSucceeded map[string]bool
}

func (c *caller) follow(ctx context.Context, one plannedJob) {
	for {
		entry := c.submit(ctx, one, false)
		if entry.Accepted() {
			break
		}
		outcomeUnknown := entry.Code == api.CodeUnavailable || entry.Code == api.CodeOutcomeUnknown
		if !outcomeUnknown || ctx.Err() != nil {
			return
		}
	}
	var concurrent sync.WaitGroup
	defer concurrent.Wait()
	if one.resent {
		concurrent.Go(func() { c.submit(ctx, one, true) })
	}
	if one.cancelAfter > 0 {
		concurrent.Go(func() {
			contexttime.Sleep(ctx, one.cancelAfter)
			c.cancel(ctx, one.id)
		})
	}
	for ctx.Err() == nil && !c.poll(ctx, one.id) {
		contexttime.Sleep(ctx, retryPause)
	}
}

func (c *caller) submit(ctx context.Context, one plannedJob, resend bool) calllog.Entry {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindSubmit, Sent: c.fleet.now(), JobID: one.id, Spec: &one.spec, Resend: resend}
	created, err := c.client.SubmitJob(ctx, one.id, one.spec)
	entry.Created = created
	return c.record(entry, err)
}

// record adds a call and its answer to the call log and returns the completed entry.
func (c *caller) record(entry calllog.Entry, err error) calllog.Entry {
	entry.Answered = c.fleet.now()
	entry.Code, entry.Error = operator.ErrorFields(err)
	c.fleet.calls.Add(entry)
	return entry
}

// poll polls a job once and reports whether polling is done: the job is final, or it was
// not found. Losing an accepted job breaks a promise, which the checker reports.
func (c *caller) poll(ctx context.Context, id string) (done bool) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindPoll, Sent: c.fleet.now(), JobID: id, Wait: pollWait}
	status, err := c.client.Job(limited, id, pollWait)
	if ctx.Err() != nil {
		return false
	}
	entry.State = status.State
	for _, step := range status.Steps {
		for _, task := range step.Tasks {
			if task.State == api.StateSucceeded && !c.reportedSucceeded[task.Task] {
				c.reportedSucceeded[task.Task] = true
				entry.Succeeded = append(entry.Succeeded, task.Task)
			}
		}
	}
	entry = c.record(entry, err)
	return entry.State.Final() || entry.Code == api.CodeNotFound
}

func (c *caller) cancel(ctx context.Context, id string) {
	for ctx.Err() == nil {
		limited, stop := context.WithTimeout(ctx, callTimeout)
		entry := calllog.Entry{Kind: calllog.KindCancel, Sent: c.fleet.now(), JobID: id}
		status, err := c.client.CancelJob(limited, id)
		stop()
		entry.State = status.State
		if c.record(entry, err); err == nil {
			return
		}
		contexttime.Sleep(ctx, retryPause)
	}
}
