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

// floodOver is the time over which a flood comes.
const floodOver = 2 * time.Second

// submitImpossible submits jobs that no worker has the capacity for: each is rejected.
func (s *scenarioRun) submitImpossible(ctx context.Context, count int) {
	client := s.newClient(nil)
	too := step("too-large", 1, payload{})
	too.Tasks[0].Resources = api.Resources{CPUMillis: 2 * workerCapacity().CPUMillis}
	s.spread(ctx, count, func(number int) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := client.SubmitJob(ctx, fmt.Sprint("impossible-", number), api.JobSpec{Queue: queueName, Steps: []api.StepSpec{too}})
		var refusal *api.Error
		if !errors.As(err, &refusal) || refusal.Status != http.StatusUnprocessableEntity && refusal.Status != http.StatusTooManyRequests {
			s.t.Errorf("an impossible job was answered with %v", err)
		}
	})
}

// floodCancelled submits jobs and cancels each as soon as it was accepted.
func (s *scenarioRun) floodCancelled(ctx context.Context, count int) {
	client := s.newClient(nil)
	s.spread(ctx, count, func(number int) {
		one := plannedJob{id: fmt.Sprint("discarded-", number), cancel: time.Millisecond}
		one.spec = api.JobSpec{Queue: queueName, Steps: []api.StepSpec{step("discarded", 20, payload{WorkMillis: 500})}}
		(&caller{fleet: s.fleet, client: client, shown: map[string]bool{}}).follow(ctx, one)
	})
}

// burst submits jobs at one moment.
func (s *scenarioRun) burst(ctx context.Context, count int) {
	client := s.newClient(nil)
	var callers sync.WaitGroup
	for number := range count {
		one := plannedJob{id: fmt.Sprint("burst-", number)}
		one.spec = api.JobSpec{Queue: queueName, Steps: []api.StepSpec{step("burst", 16, payload{WorkMillis: 300})}}
		callers.Go(func() { (&caller{fleet: s.fleet, client: client, shown: map[string]bool{}}).follow(ctx, one) })
	}
	callers.Wait()
}

// spread does something many times, evenly over the time of a flood.
func (s *scenarioRun) spread(ctx context.Context, count int, what func(int)) {
	var all sync.WaitGroup
	for number := range count {
		all.Go(func() {
			if contexttime.Sleep(ctx, floodOver*time.Duration(number)/time.Duration(count)) {
				what(number)
			}
		})
	}
	all.Wait()
}

// refuseInvalid sends an invalid configuration, which must be rejected.
func (o *operators) refuseInvalid(ctx context.Context) {
	order := o.changedOrder(func(config *api.Config) { config.Queues = []api.QueueConfig{{Name: queueName, Weight: -1}} })
	if o.put(ctx, order) {
		o.fleet.t.Error("an invalid configuration was taken")
	}
	status, err := o.client.Config(ctx)
	if code, _ := operator.Refusal(err); code != "" || len(status.Config.Queues) != 1 || status.Config.Queues[0].Weight < 0 {
		o.fleet.t.Errorf("in force after an invalid configuration: %+v, %v", status, err)
	}
}
