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
	singleChanges = 3
	// changeInterval is the pause before each single change. Users make 1,100 changes a
	// day, one in 78 s, so a run makes them faster than users do.
	changeInterval      = 3 * time.Second
	burstChanges        = 10
	rolloutPollInterval = 50 * time.Millisecond
	// rolloutTimeout bounds the wait for a roll-out to complete.
	rolloutTimeout = 20 * time.Second
)

// changes puts configurations and measures the time until each is in force in every
// front and agent.
type changes struct {
	client         *api.Client
	operatorClient *operator.Operator
	config         api.Config
	// processes is the number of fronts and agents that report a version.
	processes int

	singleDelays []time.Duration
	burstDelay   time.Duration
}

// run makes single changes, each after changeInterval, then a burst of changes without
// pauses. It returns nil if ctx ends during a pause.
func (c *changes) run(ctx context.Context) error {
	current, err := c.operatorClient.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	version := current.Version
	for range singleChanges {
		if !contexttime.Sleep(ctx, changeInterval) {
			return nil
		}
		delay, err := c.change(ctx, &version, 1)
		if err != nil {
			return err
		}
		c.singleDelays = append(c.singleDelays, delay)
	}
	c.burstDelay, err = c.change(ctx, &version, burstChanges)
	return err
}

// change puts count configurations, starting from *version, and returns the time from
// the answer to the last one until it is in force in every front and agent. It sets
// *version to the last accepted version.
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

// inForce reports whether every front and agent reports the version or a later one.
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
