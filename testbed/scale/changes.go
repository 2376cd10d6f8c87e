package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/operator"
)

const (
	// changePauses part the single changes of a run from each other; at 1,100
	// a day there is one in 78 s, so a run makes them faster than users do.
	singleChanges       = 3
	changeInterval      = 3 * time.Second
	burstChanges        = 10
	rolloutPollInterval = 50 * time.Millisecond
	// rolloutTimeout ends the wait for a roll-out that does not come about.
	rolloutTimeout = 20 * time.Second
)

// changes puts configurations and measures how long each takes to be in force
// in every process.
type changes struct {
	client         *api.Client
	operatorClient *operator.Operator
	config         api.Config
	// processes is the number of fronts and agents.
	processes int

	single []time.Duration
	burst  time.Duration
}

// run makes single changes, then a burst in which each follows the one before
// it at once.
func (c *changes) run(ctx context.Context) error {
	present, err := c.operatorClient.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	version := present.Version
	for range singleChanges {
		if !contexttime.Sleep(ctx, changeInterval) {
			return nil
		}
		delay, err := c.change(ctx, &version, 1)
		if err != nil {
			return err
		}
		c.single = append(c.single, delay)
	}
	c.burst, err = c.change(ctx, &version, burstChanges)
	return err
}

// change puts count configurations and returns the time from the answer to the
// last of them until it was in force everywhere.
func (c *changes) change(ctx context.Context, version *uint64, count int) (time.Duration, error) {
	for range count {
		config := c.config
		config.Limits.SubmitsPerSecond = api.DefaultSubmitsPerSecond + int(*version)
		accepted, err := c.operatorClient.Put(ctx, *version, fmt.Sprintf("change-%d", *version), config)
		if err != nil {
			return 0, fmt.Errorf("put configuration: %w", err)
		}
		*version = accepted
	}
	answered := monoclock.Now()
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	for {
		inForce, err := c.inForce(ctx, *version)
		if err != nil {
			return 0, fmt.Errorf("read the roll-out of version %d: %w", *version, err)
		}
		if inForce {
			return monoclock.Now().Sub(answered), nil
		}
		contexttime.Sleep(ctx, rolloutPollInterval)
	}
}

// inForce reports whether every process has reported the version.
func (c *changes) inForce(ctx context.Context, version uint64) (bool, error) {
	rollout, err := c.client.Rollout(ctx)
	if err != nil {
		return false, err
	}
	confirmed := 0
	for _, process := range rollout.Processes {
		if process.Version >= version {
			confirmed++
		}
	}
	return confirmed >= c.processes, nil
}

func newChanges(size Size, running *fleet.Fleet, operatorClient *operator.Operator) *changes {
	return &changes{
		client: running.Client(), operatorClient: operatorClient, config: running.Deployment().Config,
		processes: deployment.Fronts + size.Workers,
	}
}
