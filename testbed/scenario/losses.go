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
	// powerOffTime is how long schedulers stay down after a power loss.
	powerOffTime = 2 * time.Second
	// joinTimeout bounds the time from a start without data to being a voter.
	joinTimeout = 40 * time.Second
)

// loseDisk deletes the data folder of one scheduler, the leader for odd seeds. As soon as
// that scheduler is a voter again, another one is killed, so that the quorum depends on the
// replaced replica.
func loseDisk(ctx context.Context, env Env) error {
	leading, err := leader(ctx, env)
	if err != nil {
		return err
	}
	target := leading
	if env.Seed%2 == 0 {
		target = peersOf(env, leading)[0]
	}
	if err := replaceDisk(ctx, env, target); err != nil {
		return err
	}
	killed := peersOf(env, target)[int(env.Seed/2)%2]
	return killAndStart(ctx, killed)
}

// replaceDisk kills a scheduler, deletes its data folder, starts it and waits until it is a
// voter with a new replica id.
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

// losePower kills the leader and another scheduler at the same time, right after a
// configuration has been acknowledged, and later all three schedulers in the same way.
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

// powerCycle puts a configuration, kills processes as soon as it is acknowledged, and
// restarts them after powerOffTime. The length of name is the configuration's tag.
func powerCycle(ctx context.Context, env Env, name string, targets []*fleet.Process) error {
	if err := putWithTag(ctx, env, "lab-power-"+name, len(name)); err != nil {
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

// killAll kills processes concurrently, as close to the same time as the machine permits.
func killAll(targets []*fleet.Process) error {
	failures := make([]error, len(targets))
	var killing sync.WaitGroup
	for index, target := range targets {
		killing.Go(func() { failures[index] = target.Kill() })
	}
	killing.Wait()
	return errors.Join(failures...)
}

// killLeaderAndWorker kills the leader and a worker at the same time.
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

// freezeWorker freezes one agent for less than the lease of its worker, and then one worker
// for longer than its lease.
func freezeWorker(ctx context.Context, env Env) error {
	worker := env.Fleet.ByRole(deployment.RoleWorker)[env.Seed%deployment.Workers]
	agent := env.Fleet.ByRole(deployment.RoleAgent)[(env.Seed+1)%deployment.Workers]
	if err := freezeFor(ctx, agent, agentFreezeTime); err != nil {
		return err
	}
	return freezeFor(ctx, worker, workerFreezeTime)
}

const (
	agentFreezeTime  = 1500 * time.Millisecond
	workerFreezeTime = 8 * time.Second
)

// freezeFor freezes a process for a duration; it resumes it also if the context ends first.
func freezeFor(ctx context.Context, target *fleet.Process, duration time.Duration) error {
	if err := target.Freeze(); err != nil {
		return err
	}
	sleepErr := sleep(ctx, duration)
	return errors.Join(sleepErr, target.Resume())
}

const (
	clockJumpOffset = time.Hour
	// clockJumpDuration is how long each jump lasts.
	clockJumpDuration = 6 * time.Second
)

// jumpClock sets the leader's wall clock an hour ahead, then an hour back, then right again.
func jumpClock(ctx context.Context, env Env) error {
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	for _, offset := range []time.Duration{clockJumpOffset, -clockJumpOffset, 0} {
		if err := env.Fleet.SetClock(target, offset); err != nil {
			return fmt.Errorf("set clock: %w", err)
		}
		if err := sleep(ctx, clockJumpDuration); err != nil {
			return errors.Join(err, env.Fleet.SetClock(target, 0))
		}
	}
	return nil
}
