package scenario

import (
	"strings"

	"github.com/decklever/decklever/testbed/deployment"
)

const (
	// slowWorkers is the number of slow workers, slowFactor the factor by which their
	// tasks take longer. The load must still fit the fleet's capacity, and both steps of a
	// job must end within the time for which the test bed waits for the job.
	slowWorkers = 3
	slowFactor  = 3
	// failShare is the share of runs that fail, allowedFailures the number of times that a
	// task may fail.
	failShare       = 0.25
	allowedFailures = 2
)

// slowSomeWorkers binds the services of some workers to the slow handler.
func slowSomeWorkers(d *deployment.Deployment) {
	slowed := 0
	for index := range d.Processes {
		if d.Processes[index].Role == deployment.RoleWorker && slowed < slowWorkers {
			bindServices(&d.Processes[index], "slow")
			slowed++
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
		shape.FailureFraction, shape.AllowedFailures = failShare, allowedFailures
	}
}

// bindServices binds all services of a worker to another handler.
func bindServices(worker *deployment.Process, handler string) {
	for index, entry := range worker.Services {
		service, _, _ := strings.Cut(entry, "=")
		worker.Services[index] = service + "=" + handler
	}
}
