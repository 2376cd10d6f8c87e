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

// Env is what a scenario works on.
type Env struct {
	Fleet    *fleet.Fleet
	Operator *operator.Operator
	// Callers hand in work beside the ordinary load.
	Callers *load.Generator
	// Seed draws what the scenario hands in.
	Seed uint64
	// Duration is how long callers submit.
	Duration time.Duration
}

// Scenario is one course of events.
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

// All lists every scenario.
func All() []Scenario {
	return append([]Scenario{
		{Name: "steady", Summary: "no faults", Run: steady},
		{Name: "kill-leader", Summary: "SIGKILL to the leading scheduler at half time, started again after 5s", MinDuration: 10 * time.Second, Run: killLeader},
		{Name: "kill-front", Summary: "SIGKILL to a front at half time, started again after 5s", MinDuration: 10 * time.Second, Run: killNamed("front-01")},
		{Name: "kill-agent", Summary: "SIGKILL to an agent at half time, started again after 5s", MinDuration: 10 * time.Second, Run: killNamed("agent-01")},
		{Name: "kill-worker", Summary: "SIGKILL to a worker at half time, started again after 5s", MinDuration: 10 * time.Second, Run: killNamed("worker-01")},
		{Name: "freeze-leader", Summary: "the leading scheduler is frozen for 25s", MinDuration: 40 * time.Second, Run: freezeLeader},
		{Name: "rolling-restart", Summary: "every process is asked to end and started again, in turn", MinDuration: 60 * time.Second, Run: rollingRestart},
		{Name: "version-change", Summary: "every process is changed from the previous programs to the present ones, in turn, and back, with changes of configuration between", MinDuration: 120 * time.Second, FirstVersion: fleet.PreviousVersion, Run: changeVersions},
		{Name: "drain", Summary: "two workers are drained for half of the time", MinDuration: 20 * time.Second, Run: drainWorkers},
		{Name: "evacuate", Summary: "a zone is evacuated for half of the time", MinDuration: 20 * time.Second, Run: evacuateZone},
		{Name: "shift-change", Summary: "restrepo: a full fleet, and a burst for the booked queue swaps at its moment", MinDuration: 30 * time.Second, Prepare: swapsRun.prepare, Run: swapsRun.run},
		{Name: "billing-run", Summary: "cartago: a full fleet, and a burst for the booked queue billing at its moment", MinDuration: 30 * time.Second, Prepare: billingRun.prepare, Run: billingRun.run},
		{Name: "flood", Summary: "20,000 jobs that must be refused and 5,000 that are cancelled in mass, after a quiet third", MinDuration: 60 * time.Second, Prepare: prepareFlood, Run: flood},
	}, faultScenarios()...)
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

// sleep waits; it reports an error if the context ends before.
func sleep(ctx context.Context, length time.Duration) error {
	if !contexttime.Sleep(ctx, length) {
		return ctx.Err()
	}
	return nil
}

func steady(context.Context, Env) error { return nil }
