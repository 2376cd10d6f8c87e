package run

import (
	"slices"
	"testing"

	"github.com/decklever/decklever/testbed/deployment"
)

func TestCheckerWorkers_HaveServicesAndAgent(t *testing.T) {
	d, err := deployment.New("restrepo", 2)
	if err != nil {
		t.Fatal(err)
	}
	converted := checkerWorkers(d)
	if len(converted) != deployment.Workers {
		t.Fatalf("got %d workers, want %d", len(converted), deployment.Workers)
	}
	agents := d.ByRole(deployment.RoleAgent)
	for index, worker := range converted {
		if !slices.Equal(worker.Services, []string{"swap", "review", "watch"}) {
			t.Errorf("%s: got services %v, want swap, review and watch", worker.Name, worker.Services)
		}
		if worker.Agent != agents[index].Name || worker.Zone != agents[index].Zone {
			t.Errorf("%s: got zone %s and agent %s, want those of the agent with the same index", worker.Name, worker.Zone, worker.Agent)
		}
	}
}
