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

// Env is the environment that a scenario acts on: a running fleet and its clients.
type Env struct {
	Fleet    *fleet.Fleet
	Operator *operator.Operator
	// Callers submits jobs in addition to the ordinary load.
	Callers *load.Generator
	// Seed determines which jobs the scenario submits and which faults it injects.
	Seed uint64
	// Duration is the duration of the ordinary load.
	Duration time.Duration
}

// Scenario is a named sequence of faults, changes and additional load.
type Scenario struct {
	Name    string
	Summary string
	// MinDuration is the shortest load duration for which the scenario is meaningful.
	MinDuration time.Duration
	// FirstVersion is the version in which the fleet is started. Default: the present
	// version.
	FirstVersion fleet.Version
	// Prepare changes the deployment before the fleet starts; nil for no change.
	Prepare func(*deployment.Deployment)
	// Run is called when the load starts, and may return after the load has ended.
	Run func(context.Context, Env) error
}

// Find returns the scenario with that name, or an error that lists all names.
func Find(name string) (Scenario, error) {
	var names []string
	for _, candidate := range All() {
		if candidate.Name == name {
			return candidate, nil
		}
		names = append(names, candidate.Name)
	}
	return Scenario{}, fmt.Errorf("scenario is %q, expected one of %v", name, names)
}

// sleep waits for a duration. It returns an error if the context ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	if !contexttime.Sleep(ctx, duration) {
		return ctx.Err()
	}
	return nil
}

// steady injects no faults.
func steady(context.Context, Env) error { return nil }
