package scenario

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
)

const (
	// powerOffTime is how long a machine without power stays down.
	powerOffTime = 2 * time.Second
	// joinTimeout bounds the time from an empty start to being a voter.
	joinTimeout = 40 * time.Second
)

// loseDisk deletes the data folder of one scheduler. As soon as it is a voter again
// another is killed: the majority then depends on the repaired one.
func loseDisk(ctx context.Context, env Env) error {
	first, err := leader(ctx, env)
	if err != nil {
		return err
	}
	target := first
	if env.Seed%2 == 0 {
		target = peersOf(env, first)[0]
	}
	if err := replaceDisk(ctx, env, target); err != nil {
		return err
	}
	second := peersOf(env, target)[int(env.Seed/2)%2]
	return killAndStart(ctx, second)
}

// replaceDisk kills a scheduler, deletes its data, starts it and waits until
// it is a voter again.
func replaceDisk(ctx context.Context, env Env, target *fleet.Process) error {
	old, err := env.Fleet.ReplicaID(ctx, target)
	if err != nil {
		return err
	}
	if err := target.Kill(); err != nil {
		return err
	}
	if err := target.Wait(ctx); err != nil {
		return err
	}
	if err := env.Fleet.Wipe(target); err != nil {
		return err
	}
	if err := target.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return env.Fleet.WaitJoined(ctx, target, old)
}

// losePower kills two schedulers at once, the leading one among them, right
// after a configuration was acknowledged, and later all three.
func losePower(ctx context.Context, env Env) error {
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	if err := powerCycle(ctx, env, "first", []*fleet.Process{target, peersOf(env, target)[env.Seed%2]}); err != nil {
		return err
	}
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	return powerCycle(ctx, env, "second", env.Fleet.ByRole(deployment.RoleScheduler))
}

// powerCycle puts a configuration, kills processes the moment it is
// acknowledged, and starts them again.
func powerCycle(ctx context.Context, env Env, name string, targets []*fleet.Process) error {
	if err := putTagged(ctx, env, "lab-power-"+name, len(name)); err != nil {
		return err
	}
	if err := killAll(targets); err != nil {
		return err
	}
	if err := sleep(ctx, powerOffTime); err != nil {
		return err
	}
	return startAll(ctx, targets)
}

// killAll kills processes at the same moment, as near as this machine can.
func killAll(targets []*fleet.Process) error {
	failures := make([]error, len(targets))
	var killing sync.WaitGroup
	for index, target := range targets {
		killing.Go(func() { failures[index] = target.Kill() })
	}
	killing.Wait()
	return errors.Join(failures...)
}

// killLeaderAndWorker kills the leading scheduler and a worker at the same moment.
func killLeaderAndWorker(ctx context.Context, env Env) error {
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	worker := env.Fleet.ByRole(deployment.RoleWorker)[env.Seed%deployment.Workers]
	if err := killAll([]*fleet.Process{target, worker}); err != nil {
		return err
	}
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	return startAll(ctx, []*fleet.Process{target, worker})
}

// freezeWorker freezes one worker for longer than its lease and one agent for less.
func freezeWorker(ctx context.Context, env Env) error {
	worker := env.Fleet.ByRole(deployment.RoleWorker)[env.Seed%deployment.Workers]
	agent := env.Fleet.ByRole(deployment.RoleAgent)[(env.Seed+1)%deployment.Workers]
	if err := freezeFor(ctx, agent, shortFreeze); err != nil {
		return err
	}
	return freezeFor(ctx, worker, longFreeze)
}

const (
	shortFreeze = 1500 * time.Millisecond
	longFreeze  = 8 * time.Second
)

func freezeFor(ctx context.Context, target *fleet.Process, length time.Duration) error {
	if err := target.Freeze(); err != nil {
		return err
	}
	pauseErr := sleep(ctx, length)
	return errors.Join(pauseErr, target.Resume())
}

const (
	clockJump = time.Hour
	// clockTime is how long each jump lasts.
	clockTime = 6 * time.Second
)

// jumpClock sets the wall clock of one scheduler an hour ahead, then an hour
// back, then right. The scheduler is the leading one.
func jumpClock(ctx context.Context, env Env) error {
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	for _, offset := range []time.Duration{clockJump, -clockJump, 0} {
		if err := env.Fleet.SetClock(target, offset); err != nil {
			return fmt.Errorf("jump: %w", err)
		}
		if err := sleep(ctx, clockTime); err != nil {
			return errors.Join(err, env.Fleet.SetClock(target, 0))
		}
	}
	return nil
}
