package scenario

import (
	"strings"

	"github.com/decklever/decklever/testbed/deployment"
)

const (
	// slowWorkers is how many workers are slow, slowFactor how much longer their
	// tasks take. All must still fit the fleet's capacity, and both steps of a job
	// the time that is waited for its end.
	slowWorkers = 3
	slowFactor  = 3
	// failShare of all runs fail, and a task may fail allowedFailures times.
	failShare       = 0.25
	allowedFailures = 2
)

// slowSomeWorkers binds the services of some workers to the slow handler.
func slowSomeWorkers(d *deployment.Deployment) {
	bound := 0
	for index := range d.Processes {
		if d.Processes[index].Role == deployment.RoleWorker && bound < slowWorkers {
			bindServices(&d.Processes[index], "slow")
			bound++
		}
	}
	for _, shape := range []*deployment.Shape{&d.Shapes.Short, &d.Shapes.Batch} {
		shape.SlowFactor = slowFactor
	}
}

// makeWorkersFlaky binds the services of all workers to the flaky handler.
func makeWorkersFlaky(d *deployment.Deployment) {
	for index := range d.Processes {
		if d.Processes[index].Role == deployment.RoleWorker {
			bindServices(&d.Processes[index], "flaky")
		}
	}
	for _, shape := range []*deployment.Shape{&d.Shapes.Short, &d.Shapes.Batch} {
		shape.FailShare, shape.AllowedFailures = failShare, allowedFailures
	}
}

// bindServices binds all services of a worker to another handler.
func bindServices(worker *deployment.Process, handler string) {
	for index, entry := range worker.Services {
		service, _, _ := strings.Cut(entry, "=")
		worker.Services[index] = service + "=" + handler
	}
}
