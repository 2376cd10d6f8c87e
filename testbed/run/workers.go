package run

import (
	"strings"

	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/deployment"
)

// schedulerNames returns the names of the schedulers of a deployment.
func schedulerNames(d deployment.Deployment) []string {
	var names []string
	for _, scheduler := range d.ByRole(deployment.RoleScheduler) {
		names = append(names, scheduler.Name)
	}
	return names
}

// checkerWorkers returns a deployment's workers in the form that the checker takes.
func checkerWorkers(d deployment.Deployment) []checker.Worker {
	agents := map[string]string{}
	for _, agent := range d.ByRole(deployment.RoleAgent) {
		agents[agent.URL()] = agent.Name
	}
	var converted []checker.Worker
	for _, worker := range d.ByRole(deployment.RoleWorker) {
		entry := checker.Worker{
			Name: worker.Name, Zone: worker.Zone, Capacity: worker.Capacity,
			Labels: worker.Labels, Agent: agents[worker.Agent],
		}
		for _, service := range worker.Services {
			name, _, _ := strings.Cut(service, "=")
			entry.Services = append(entry.Services, name)
		}
		converted = append(converted, entry)
	}
	return converted
}
