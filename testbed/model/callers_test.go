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
	// pollWait is how long a front may hold a long poll, callTimeout how long a caller
	// retries one call at all fronts.
	pollWait    = 2 * time.Second
	callTimeout = 15 * time.Second
	pollPause   = 50 * time.Millisecond
	// longWork is longer than a lease.
	longWork = 4 * time.Second
	// endlessFor is how long jobs that run until cancelled go on.
	endlessFor = 5 * time.Second
	// finishTime is how long after the load jobs may take to end.
	finishTime = 60 * time.Second
)

// load is what callers submit, evenly over a time.
type load struct {
	over time.Duration
	jobs int
	// resent and cancelled are shares of the jobs.
	resent, cancelled float64
}

// plannedJob is one job of a load.
type plannedJob struct {
	id      string
	spec    api.JobSpec
	at      time.Duration
	resent  bool
	cancel  time.Duration
	endless bool
}

// plan draws the jobs of a load by the seed of the scenario.
func (f *fleet) plan(work load) []plannedJob {
	random := rand.New(rand.NewPCG(f.seed, 0x6c6f6164))
	var jobs []plannedJob
	for number := range work.jobs {
		one := plannedJob{id: fmt.Sprintf("job-%d", number), at: work.over * time.Duration(number) / time.Duration(work.jobs)}
		one.spec, one.endless = f.drawJob(random)
		one.resent = random.Float64() < work.resent
		if one.endless {
			one.cancel = endlessFor
		} else if random.Float64() < work.cancelled {
			one.cancel = time.Duration(1 + random.Int64N(int64(time.Second)))
		}
		jobs = append(jobs, one)
	}
	return jobs
}

// drawJob draws one of the shapes of jobs: chains of short tasks, tasks longer than a
// lease, tasks with a spread rule, gangs with a common outcome, and tasks that run
// until cancelled.
func (f *fleet) drawJob(random *rand.Rand) (spec api.JobSpec, endless bool) {
	work := 200 + random.Int64N(800)
	switch draw := random.IntN(10); {
	case draw < 4:
		first := step("first", 4+random.IntN(6), payload{WorkMillis: work})
		second := step("second", 2+random.IntN(6), payload{WorkMillis: work})
		second.After = []string{first.Name}
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{first, second}}, false
	case draw < 5:
		long := step("long", 6+random.IntN(5), payload{WorkMillis: longWork.Milliseconds() + 4*work})
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{long}}, false
	case draw < 7:
		apart := step("apart", 4+random.IntN(4), payload{WorkMillis: work})
		apart.Tasks[0].Spread = &api.Spread{By: api.SpreadByWorker}
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{apart}}, false
	case draw < 9:
		size := 4 + random.IntN(5)
		gang := step("gang", size, payload{WorkMillis: 2 * work, Gang: size})
		gang.Lockstep = true
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{gang}}, false
	default:
		lasting := step("lasting", 3, payload{Endless: true})
		lasting.Tasks[0].UntilCancelled = true
		return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{lasting}}, true
	}
}

// step is a step of equal tasks.
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

// newClient makes a client of the fronts; loses draws whether an answer to it
// is lost.
func (f *fleet) newClient(loses func() bool) *api.Client {
	var endpoints []string
	for name := range f.fronts {
		endpoints = append(endpoints, "http://"+name)
	}
	slices.Sort(endpoints)
	client, err := api.NewClient(api.ClientConfig{
		Endpoints: endpoints,
		HTTPClient: &http.Client{Transport: direct{loses: loses, handler: func(request *http.Request) http.Handler {
			return f.fronts[request.URL.Host].front
		}}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return client
}

// submitLoad submits a load and follows each job to its end.
func (f *fleet) submitLoad(ctx context.Context, work load) {
	ctx, cancel := context.WithTimeout(ctx, work.over+finishTime)
	defer cancel()
	client := f.newClient(nil)
	var callers sync.WaitGroup
	for _, one := range f.plan(work) {
		callers.Go(func() {
			contexttime.Sleep(ctx, one.at)
			(&caller{fleet: f, client: client, shown: map[string]bool{}}).follow(ctx, one)
		})
	}
	callers.Wait()
}

// caller follows one job.
type caller struct {
	fleet  *fleet
	client *api.Client
	// shown are the tasks that a poll showed as succeeded already.
	shown map[string]bool
}

func (c *caller) follow(ctx context.Context, one plannedJob) {
	for {
		entry := c.submit(ctx, one, false)
		if entry.Accepted() {
			break
		}
		unclear := entry.Code == api.CodeUnavailable || entry.Code == api.CodeOutcomeUnknown
		if !unclear || ctx.Err() != nil {
			return
		}
	}
	var beside sync.WaitGroup
	defer beside.Wait()
	if one.resent {
		beside.Go(func() { c.submit(ctx, one, true) })
	}
	if one.cancel > 0 {
		beside.Go(func() {
			contexttime.Sleep(ctx, one.cancel)
			c.cancel(ctx, one.id)
		})
	}
	for ctx.Err() == nil && !c.poll(ctx, one.id) {
		contexttime.Sleep(ctx, pollPause)
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

// record adds a call and its answer to the call log.
func (c *caller) record(entry calllog.Entry, err error) calllog.Entry {
	entry.Answered = c.fleet.now()
	entry.Code, entry.Error = operator.Refusal(err)
	c.fleet.calls.Add(entry)
	return entry
}

// poll polls a job once, and reports whether there is nothing more to poll: it is
// final, or it was lost, which breaks a promise.
func (c *caller) poll(ctx context.Context, id string) (over bool) {
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
			if task.State == api.StateSucceeded && !c.shown[task.Task] {
				c.shown[task.Task] = true
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
		contexttime.Sleep(ctx, pollPause)
	}
}
