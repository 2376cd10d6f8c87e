package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/load"
	"github.com/decklever/decklever/testbed/operator"
)

// Env is the running fleet that a scenario acts on.
type Env struct {
	Fleet    *fleet.Fleet
	Operator *operator.Operator
	// Callers submit work beside the ordinary load.
	Callers *load.Generator
	// Seed draws what the scenario submits and which faults it injects.
	Seed uint64
	// Duration is how long callers submit.
	Duration time.Duration
}

// Scenario is one sequence of faults, changes and additional load.
type Scenario struct {
	Name    string
	Summary string
	// MinDuration is the shortest load under which it makes sense.
	MinDuration time.Duration
	// FirstVersion is what the fleet is started from. Default: the present
	// programs.
	FirstVersion fleet.Version
	// Prepare changes the deployment before the fleet starts. Default: nothing.
	Prepare func(*deployment.Deployment)
	// Run starts with the load and may outlast it.
	Run func(context.Context, Env) error
}

// Find returns the scenario of that name.
func Find(name string) (Scenario, error) {
	var names []string
	for _, one := range All() {
		if one.Name == name {
			return one, nil
		}
		names = append(names, one.Name)
	}
	return Scenario{}, fmt.Errorf("scenario is %q, expected one of %v", name, names)
}

// sleep waits; it returns an error if the context ends before.
func sleep(ctx context.Context, length time.Duration) error {
	if !contexttime.Sleep(ctx, length) {
		return ctx.Err()
	}
	return nil
}

func steady(context.Context, Env) error { return nil }
