package model

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/operator"
)

// floodDuration is the time over which the calls of a flood are spread.
const floodDuration = 2 * time.Second

// submitImpossible submits jobs that exceed the capacity of every worker. Each must be
// rejected with status 422 or 429.
func (s *scenarioRun) submitImpossible(ctx context.Context, count int) {
	client := s.newClient(nil)
	tooLarge := step("too-large", 1, payload{})
	tooLarge.Tasks[0].Resources = api.Resources{CPUMillis: 2 * workerCapacity().CPUMillis}
	s.repeatDuringFlood(ctx, count, func(number int) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := client.SubmitJob(ctx, fmt.Sprint("impossible-", number), api.JobSpec{Queue: queueName, Steps: []api.StepSpec{tooLarge}})
		var refusal *api.Error
		if !errors.As(err, &refusal) || refusal.Status != http.StatusUnprocessableEntity && refusal.Status != http.StatusTooManyRequests {
			s.t.Errorf("got error %v for a job that no worker can run, want status 422 or 429", err)
		}
	})
}

// floodCancelled submits jobs and cancels each one millisecond after it is accepted.
func (s *scenarioRun) floodCancelled(ctx context.Context, count int) {
	client := s.newClient(nil)
	s.repeatDuringFlood(ctx, count, func(number int) {
		one := plannedJob{id: fmt.Sprint("discarded-", number), cancelAfter: time.Millisecond}
		one.spec = api.JobSpec{Queue: queueName, Steps: []api.StepSpec{step("discarded", 20, payload{WorkMillis: 500})}}
		(&caller{fleet: s.fleet, client: client, reportedSucceeded: map[string]bool{}}).follow(ctx, one)
	})
}

// burst submits count jobs at the same time.
func (s *scenarioRun) burst(ctx context.Context, count int) {
	client := s.newClient(nil)
	var callers sync.WaitGroup
	for number := range count {
		one := plannedJob{id: fmt.Sprint("burst-", number)}
		one.spec = api.JobSpec{Queue: queueName, Steps: []api.StepSpec{step("burst", 16, payload{WorkMillis: 300})}}
		callers.Go(func() {
			(&caller{fleet: s.fleet, client: client, reportedSucceeded: map[string]bool{}}).follow(ctx, one)
		})
	}
	callers.Wait()
}

// repeatDuringFlood calls action count times, spread evenly over floodDuration, and waits
// for all calls.
func (s *scenarioRun) repeatDuringFlood(ctx context.Context, count int, action func(int)) {
	var all sync.WaitGroup
	for number := range count {
		all.Go(func() {
			if contexttime.Sleep(ctx, floodDuration*time.Duration(number)/time.Duration(count)) {
				action(number)
			}
		})
	}
	all.Wait()
}

// putInvalidConfig sends an invalid configuration, which must be rejected and leave the
// configuration in force unchanged.
func (o *operators) putInvalidConfig(ctx context.Context) {
	order := o.changedOrder(func(config *api.Config) { config.Queues = []api.QueueConfig{{Name: queueName, Weight: -1}} })
	if o.put(ctx, order) {
		o.fleet.t.Error("got an invalid configuration accepted, want it rejected")
	}
	status, err := o.client.Config(ctx)
	if code, _ := operator.ErrorFields(err); code != "" || len(status.Config.Queues) != 1 || status.Config.Queues[0].Weight < 0 {
		o.fleet.t.Errorf("got configuration in force %+v, error %v after an invalid configuration, want the previous one", status, err)
	}
}
