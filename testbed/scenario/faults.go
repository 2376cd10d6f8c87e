package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
)

const (
	// downTime is how long a killed process stays down.
	downTime = 5 * time.Second
	// leaderFreezeTime is how long a leader stays frozen.
	leaderFreezeTime = 25 * time.Second
	// leaderTimeout bounds the call that finds the leader.
	leaderTimeout = 10 * time.Second
	// readyTimeout bounds the wait for a restarted process to be ready.
	readyTimeout = 15 * time.Second
)

// leader returns the leader as the members API reports it.
func leader(ctx context.Context, env Env) (*fleet.Process, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	return env.Fleet.Leader(ctx)
}

// killLeader kills the leader at half of the load's duration.
func killLeader(ctx context.Context, env Env) error {
	if err := sleep(ctx, env.Duration/2); err != nil {
		return err
	}
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	return killAndStart(ctx, target)
}

// killNamed returns a scenario that kills the process with that name at half of the load's
// duration.
func killNamed(name string) func(context.Context, Env) error {
	return func(ctx context.Context, env Env) error {
		target := env.Fleet.Process(name)
		if target == nil {
			return fmt.Errorf("no process is named %s", name)
		}
		if err := sleep(ctx, env.Duration/2); err != nil {
			return err
		}
		return killAndStart(ctx, target)
	}
}

// killAndStart kills a process, starts it after downTime and waits until it is ready.
func killAndStart(ctx context.Context, target *fleet.Process) error {
	if err := target.Kill(); err != nil {
		return err
	}
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	if err := target.Start(); err != nil {
		return err
	}
	return waitReady(ctx, target)
}

// waitReady waits until a started process is ready. It returns at once for a worker, which
// has no readiness endpoint.
func waitReady(ctx context.Context, target *fleet.Process) error {
	if target.Spec.Role == deployment.RoleWorker {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return target.WaitReady(ctx)
}

// freezeLeader freezes the leader for leaderFreezeTime.
func freezeLeader(ctx context.Context, env Env) error {
	if err := sleep(ctx, env.Duration/4); err != nil {
		return err
	}
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	if err := target.Freeze(); err != nil {
		return err
	}
	sleepErr := sleep(ctx, leaderFreezeTime)
	if err := target.Resume(); err != nil {
		return err
	}
	return sleepErr
}
