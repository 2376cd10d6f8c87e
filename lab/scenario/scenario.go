package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/lab/fleet"
	"github.com/decklever/decklever/lab/operator"
)

// Bench is what a scenario works on.
type Bench struct {
	Fleet    *fleet.Fleet
	Operator *operator.Operator
	// Duration is how long callers submit.
	Duration time.Duration
}

// Scenario is one course of events.
type Scenario struct {
	Name    string
	Summary string
	// MinDuration is the shortest load under which it makes sense.
	MinDuration time.Duration
	// Run starts with the load and may outlast it.
	Run func(context.Context, Bench) error
}

// All lists every scenario.
func All() []Scenario {
	return []Scenario{
		{"steady", "no faults", 0, steady},
		{"kill-leader", "SIGKILL to the leading scheduler at half time, started again after 5s", 10 * time.Second, killLeader},
		{"kill-front", "SIGKILL to a front at half time, started again after 5s", 10 * time.Second, killNamed("front-01")},
		{"kill-agent", "SIGKILL to an agent at half time, started again after 5s", 10 * time.Second, killNamed("agent-01")},
		{"kill-worker", "SIGKILL to a worker at half time, started again after 5s", 10 * time.Second, killNamed("worker-01")},
		{"freeze-leader", "the leading scheduler is frozen for 25s", 40 * time.Second, freezeLeader},
		{"rolling-restart", "every process is asked to end and started again, in turn", 60 * time.Second, rollingRestart},
		{"drain", "two workers are drained for half of the time", 20 * time.Second, drainWorkers},
		{"evacuate", "a zone is evacuated for half of the time", 20 * time.Second, evacuateZone},
	}
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

// pause waits; it reports an error if the context ends before.
func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func steady(context.Context, Bench) error { return nil }
