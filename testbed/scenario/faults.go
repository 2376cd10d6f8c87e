package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
)

const (
	// downTime is how long a killed process stays away.
	downTime = 5 * time.Second
	// frozenTime is how long a frozen process stays silent.
	frozenTime = 25 * time.Second
	// leaderTimeout bounds the search for the leader.
	leaderTimeout = 10 * time.Second
	// backTimeout bounds the wait for a restarted process to be ready.
	backTimeout = 15 * time.Second
)

func leader(ctx context.Context, bench Bench) (*fleet.Process, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	return bench.Fleet.Leader(ctx)
}

func killLeader(ctx context.Context, bench Bench) error {
	if err := pause(ctx, bench.Duration/2); err != nil {
		return err
	}
	target, err := leader(ctx, bench)
	if err != nil {
		return err
	}
	return killAndStart(ctx, target)
}

// killNamed returns a scenario that kills one process of a known name.
func killNamed(name string) func(context.Context, Bench) error {
	return func(ctx context.Context, bench Bench) error {
		target := bench.Fleet.Process(name)
		if target == nil {
			return fmt.Errorf("no process is named %s", name)
		}
		if err := pause(ctx, bench.Duration/2); err != nil {
			return err
		}
		return killAndStart(ctx, target)
	}
}

func killAndStart(ctx context.Context, target *fleet.Process) error {
	if err := target.Kill(); err != nil {
		return err
	}
	if err := pause(ctx, downTime); err != nil {
		return err
	}
	if err := target.Start(); err != nil {
		return err
	}
	return waitBack(ctx, target)
}

// waitBack waits until a started process is ready; workers have no such call.
func waitBack(ctx context.Context, target *fleet.Process) error {
	if target.Spec.Role == deployment.RoleWorker {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, backTimeout)
	defer cancel()
	return target.WaitReady(ctx)
}

func freezeLeader(ctx context.Context, bench Bench) error {
	if err := pause(ctx, bench.Duration/4); err != nil {
		return err
	}
	target, err := leader(ctx, bench)
	if err != nil {
		return err
	}
	if err := target.Freeze(); err != nil {
		return err
	}
	pauseErr := pause(ctx, frozenTime)
	if err := target.Resume(); err != nil {
		return err
	}
	return pauseErr
}

// rollingRestart restarts one process after the other. It waits for each to
// be ready before it goes on, as a platform does.
func rollingRestart(ctx context.Context, bench Bench) error {
	if err := pause(ctx, bench.Duration/8); err != nil {
		return err
	}
	for _, role := range restartOrder {
		for _, target := range bench.Fleet.ByRole(role) {
			if err := target.Restart(ctx); err != nil {
				return err
			}
			if err := waitBack(ctx, target); err != nil {
				return err
			}
			if err := pause(ctx, restartPause); err != nil {
				return err
			}
		}
	}
	return nil
}

// restartOrder is the order of roles in which processes are restarted.
var restartOrder = []deployment.Role{deployment.RoleScheduler, deployment.RoleFront, deployment.RoleAgent, deployment.RoleWorker}

// restartPause lies between the restarts of two processes.
const restartPause = 500 * time.Millisecond
