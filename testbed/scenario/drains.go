package scenario

import (
	"context"
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/deployment"
)

// drainWorkers drains two workers.
func drainWorkers(ctx context.Context, env Env) error {
	return drainForHalf(ctx, env, api.DrainConfig{Workers: []string{"worker-01", "worker-02"}})
}

// evacuateZone drains all workers of a zone.
func evacuateZone(ctx context.Context, env Env) error {
	return drainForHalf(ctx, env, api.DrainConfig{Zones: []string{deployment.ZoneName(1)}})
}

// drainForHalf sets drains after a quarter of the load's duration and removes them after
// three quarters.
func drainForHalf(ctx context.Context, env Env, drains api.DrainConfig) error {
	if err := sleep(ctx, env.Duration/4); err != nil {
		return err
	}
	if err := setDrains(ctx, env, "lab-drain", drains); err != nil {
		return err
	}
	if err := sleep(ctx, env.Duration/2); err != nil {
		return err
	}
	return setDrains(ctx, env, "lab-take-back", api.DrainConfig{})
}

// setDrains replaces the drains in the configuration in force.
func setDrains(ctx context.Context, env Env, orderID string, drains api.DrainConfig) error {
	present, err := env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	present.Config.Drains = drains
	if _, err := env.Operator.Put(ctx, present.Version, orderID, present.Config); err != nil {
		return fmt.Errorf("put drains: %w", err)
	}
	return nil
}
