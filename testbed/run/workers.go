package run

import (
	"strings"

	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/deployment"
)

// schedulers returns the names of the schedulers of a deployment.
func schedulers(d deployment.Deployment) []string {
	var names []string
	for _, scheduler := range d.ByRole(deployment.RoleScheduler) {
		names = append(names, scheduler.Name)
	}
	return names
}

// workers returns what the checker must know of a deployment's workers.
func workers(d deployment.Deployment) []checker.Worker {
	agents := map[string]string{}
	for _, agent := range d.ByRole(deployment.RoleAgent) {
		agents[agent.URL()] = agent.Name
	}
	var all []checker.Worker
	for _, worker := range d.ByRole(deployment.RoleWorker) {
		one := checker.Worker{
			Name: worker.Name, Zone: worker.Zone, Capacity: worker.Capacity,
			Labels: worker.Labels, Agent: agents[worker.Agent],
		}
		for _, service := range worker.Services {
			name, _, _ := strings.Cut(service, "=")
			one.Services = append(one.Services, name)
		}
		all = append(all, one)
	}
	return all
}
