package deployment

import (
	"time"

	"github.com/decklever/decklever/api"
)

const (
	restrepoName = "restrepo"
	cartagoName  = "cartago"

	// sleepHandler is the built-in handler of the reference worker that all
	// services of the test bed are bound to.
	sleepHandler = "sleep"
)

// Shape is one kind of job.
type Shape struct {
	Queue   string
	Service string
	// MinSteps and MaxSteps bound the number of steps, drawn per job.
	MinSteps, MaxSteps int
	// Tasks is the number of tasks of a step.
	Tasks int
	// MinRun and MaxRun bound the time that a task runs, drawn per task.
	MinRun, MaxRun time.Duration
	// Resources is what each task needs.
	Resources api.Resources
	// PerSecond is the rate of submissions; 0 for jobs that run until they
	// are cancelled.
	PerSecond float64
	// FailShare is the share of runs that fail where a worker's handler is
	// flaky, and AllowedFailures the failures allowed then; 0 means that the
	// queue says.
	FailShare       float64
	AllowedFailures int
	// SlowFactor is how much longer a task takes where the handler is slow; 0
	// leaves it to the handler.
	SlowFactor float64
}

// Shapes are the kinds of job that a deployment's callers submit.
type Shapes struct {
	// Short jobs are many and small.
	Short Shape
	// Batch jobs are about one a second, of a few seconds.
	Batch Shape
	// Endless jobs run until they are cancelled; EndlessJobs is their number.
	Endless     Shape
	EndlessJobs int
}

const (
	shortJobsPerSecond = 13.5
	batchJobsPerSecond = 1
	endlessJobs        = 5
)

func shapes(queues, services [3]string) Shapes {
	return Shapes{
		Short: Shape{
			Queue: queues[0], Service: services[0], MinSteps: 1, MaxSteps: 2, Tasks: 6,
			MinRun: 100 * time.Millisecond, MaxRun: 900 * time.Millisecond,
			Resources: api.Resources{CPUMillis: 500, MemoryMB: 256}, PerSecond: shortJobsPerSecond,
		},
		Batch: Shape{
			Queue: queues[1], Service: services[1], MinSteps: 2, MaxSteps: 2, Tasks: 16,
			MinRun: 2 * time.Second, MaxRun: 4 * time.Second,
			Resources: api.Resources{CPUMillis: 1000, MemoryMB: 1024}, PerSecond: batchJobsPerSecond,
		},
		Endless: Shape{
			Queue: queues[2], Service: services[2], MinSteps: 1, MaxSteps: 1, Tasks: 2,
			MinRun: time.Hour, MaxRun: time.Hour,
			Resources: api.Resources{CPUMillis: 250, MemoryMB: 128},
		},
		EndlessJobs: endlessJobs,
	}
}

func config(queues [3]string) api.Config {
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
	p := profile{capacity: capacity, config: config(queues), shapes: shapes(queues, services)}
	for _, service := range services {
		p.services = append(p.services, service+"="+sleepHandler)
	}
	return p
}
