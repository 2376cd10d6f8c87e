package deployment

import (
	"time"

	"github.com/decklever/decklever/api"
)

const (
	restrepoName = "restrepo"
	cartagoName  = "cartago"

	// sleepHandler is the reference worker's built-in handler to which all services
	// of the test bed are bound.
	sleepHandler = "sleep"
)

// Shape describes one kind of job.
type Shape struct {
	Queue   string
	Service string
	// MinSteps and MaxSteps bound the number of steps, drawn at random for each job.
	MinSteps, MaxSteps int
	// TasksPerStep is the number of tasks in each step.
	TasksPerStep int
	// MinRunTime and MaxRunTime bound the run time, drawn at random for each task.
	MinRunTime, MaxRunTime time.Duration
	// Resources are required by each task.
	Resources api.Resources
	// JobsPerSecond is the rate of job submissions; 0 for jobs that run until cancelled.
	JobsPerSecond float64
	// FailureFraction is the fraction of runs that fail on a worker with a flaky handler.
	// AllowedFailures is each task's limit of failures; 0 means the queue's default.
	FailureFraction float64
	AllowedFailures int
	// SlowFactor multiplies the run time on a worker with a slow handler; 0 means
	// the handler's default.
	SlowFactor float64
}

// Shapes are the kinds of jobs that a deployment's callers submit.
type Shapes struct {
	// Short jobs are frequent and small.
	Short Shape
	// Batch jobs arrive about once a second; their tasks run for a few seconds.
	Batch Shape
	// UntilCancelled jobs run until cancelled; UntilCancelledJobs is the number of them.
	UntilCancelled     Shape
	UntilCancelledJobs int
}

const (
	shortJobsPerSecond = 13.5
	batchJobsPerSecond = 1
	untilCancelledJobs = 5
)

func newShapes(queues, services [3]string) Shapes {
	return Shapes{
		Short: Shape{
			Queue: queues[0], Service: services[0], MinSteps: 1, MaxSteps: 2, TasksPerStep: 6,
			MinRunTime: 100 * time.Millisecond, MaxRunTime: 900 * time.Millisecond,
			Resources: api.Resources{CPUMillis: 500, MemoryMB: 256}, JobsPerSecond: shortJobsPerSecond,
		},
		Batch: Shape{
			Queue: queues[1], Service: services[1], MinSteps: 2, MaxSteps: 2, TasksPerStep: 16,
			MinRunTime: 2 * time.Second, MaxRunTime: 4 * time.Second,
			Resources: api.Resources{CPUMillis: 1000, MemoryMB: 1024}, JobsPerSecond: batchJobsPerSecond,
		},
		UntilCancelled: Shape{
			Queue: queues[2], Service: services[2], MinSteps: 1, MaxSteps: 1, TasksPerStep: 2,
			MinRunTime: time.Hour, MaxRunTime: time.Hour,
			Resources: api.Resources{CPUMillis: 250, MemoryMB: 128},
		},
		UntilCancelledJobs: untilCancelledJobs,
	}
}

func newConfig(queues [3]string) api.Config {
	return api.Config{Queues: []api.QueueConfig{
		{Name: queues[0], Priority: 100, Weight: 4, MaxPendingTasks: 50000},
		{Name: queues[1], Priority: 0, Weight: 2, MaxPendingTasks: 50000},
		{Name: queues[2], Priority: 50, Weight: 1, MaxRunningTasks: 200, MaxPendingTasks: 1000},
	}}
}

func restrepo() profile {
	queues := [3]string{"swaps", "reviews", "watchers"}
	services := [3]string{"swap", "review", "watch"}
	return newProfile(api.Resources{CPUMillis: 32_000, MemoryMB: 64 * 1024}, queues, services)
}

func cartago() profile {
	queues := [3]string{"readings", "billing", "listeners"}
	services := [3]string{"reading", "bill", "listen"}
	return newProfile(api.Resources{CPUMillis: 64_000, MemoryMB: 256 * 1024}, queues, services)
}

func newProfile(capacity api.Resources, queues, services [3]string) profile {
	p := profile{capacity: capacity, config: newConfig(queues), shapes: newShapes(queues, services)}
	for _, service := range services {
		p.services = append(p.services, service+"="+sleepHandler)
	}
	return p
}
