package run

import (
	"slices"
	"testing"

	"github.com/decklever/decklever/testbed/deployment"
)

func TestWorkers_HaveServicesAndAgent(t *testing.T) {
	d, err := deployment.New("restrepo", 2)
	if err != nil {
		t.Fatal(err)
	}
	all := workers(d)
	if len(all) != deployment.Workers {
		t.Fatalf("%d workers, want %d", len(all), deployment.Workers)
	}
	agents := d.ByRole(deployment.RoleAgent)
	for index, worker := range all {
		if !slices.Equal(worker.Services, []string{"swap", "review", "watch"}) {
			t.Errorf("%s offers %v", worker.Name, worker.Services)
		}
		if worker.Agent != agents[index].Name || worker.Zone != agents[index].Zone {
			t.Errorf("%s in %s has the agent %s", worker.Name, worker.Zone, worker.Agent)
		}
	}
}
