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
	// powerOffTime is how long a machine without power stays away.
	powerOffTime = 2 * time.Second
	// joinTimeout bounds the time from an empty start to being a voter.
	joinTimeout = 40 * time.Second
)

// loseDisk deletes the data folder of one scheduler. As soon as it is a voter
// again another is killed: the service then hangs on the repaired one.
func loseDisk(ctx context.Context, bench Bench) error {
	first, err := leader(ctx, bench)
	if err != nil {
		return err
	}
	target := first
	if bench.Seed%2 == 0 {
		target = othersOf(bench, first)[0]
	}
	if err := replaceDisk(ctx, bench, target); err != nil {
		return err
	}
	second := othersOf(bench, target)[int(bench.Seed/2)%2]
	return killAndStart(ctx, second)
}

// replaceDisk kills a scheduler, deletes its data, starts it and waits until
// it is a voter again.
func replaceDisk(ctx context.Context, bench Bench, target *fleet.Process) error {
	old, err := bench.Fleet.ReplicaID(ctx, target)
	if err != nil {
		return err
	}
	if err := target.Kill(); err != nil {
		return err
	}
	if err := target.Wait(ctx); err != nil {
		return err
	}
	if err := bench.Fleet.Wipe(target); err != nil {
		return err
	}
	if err := target.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return bench.Fleet.WaitJoined(ctx, target, old)
}

// losePower kills two schedulers at once, the leading one among them, right
// after a configuration was acknowledged, and later all three.
func losePower(ctx context.Context, bench Bench) error {
	target, err := leader(ctx, bench)
	if err != nil {
		return err
	}
	if err := cutPower(ctx, bench, "first", []*fleet.Process{target, othersOf(bench, target)[bench.Seed%2]}); err != nil {
		return err
	}
	if err := pause(ctx, downTime); err != nil {
		return err
	}
	return cutPower(ctx, bench, "second", bench.Fleet.ByRole(deployment.RoleScheduler))
}

// cutPower puts a configuration, kills processes the moment it is
// acknowledged, and starts them again.
func cutPower(ctx context.Context, bench Bench, name string, targets []*fleet.Process) error {
	if err := putTagged(ctx, bench, "lab-power-"+name, len(name)); err != nil {
		return err
	}
	if err := killAll(targets); err != nil {
		return err
	}
	if err := pause(ctx, powerOffTime); err != nil {
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

// killTogether kills the leading scheduler and a worker at the same moment.
func killTogether(ctx context.Context, bench Bench) error {
	target, err := leader(ctx, bench)
	if err != nil {
		return err
	}
	worker := bench.Fleet.ByRole(deployment.RoleWorker)[bench.Seed%deployment.Workers]
	if err := killAll([]*fleet.Process{target, worker}); err != nil {
		return err
	}
	if err := pause(ctx, downTime); err != nil {
		return err
	}
	return startAll(ctx, []*fleet.Process{target, worker})
}

// freezeWorker freezes one worker for longer than its hold and one agent for
// less.
func freezeWorker(ctx context.Context, bench Bench) error {
	worker := bench.Fleet.ByRole(deployment.RoleWorker)[bench.Seed%deployment.Workers]
	agent := bench.Fleet.ByRole(deployment.RoleAgent)[(bench.Seed+1)%deployment.Workers]
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
	pauseErr := pause(ctx, length)
	return errors.Join(pauseErr, target.Resume())
}

const (
	clockJump = time.Hour
	// clockTime is how long each jump lasts.
	clockTime = 6 * time.Second
)

// jumpClock sets the wall clock of one scheduler an hour ahead, then an hour
// back, then right. The scheduler is the leading one.
func jumpClock(ctx context.Context, bench Bench) error {
	target, err := leader(ctx, bench)
	if err != nil {
		return err
	}
	for _, offset := range []time.Duration{clockJump, -clockJump, 0} {
		if err := bench.Fleet.SetClock(target, offset); err != nil {
			return fmt.Errorf("jump: %w", err)
		}
		if err := pause(ctx, clockTime); err != nil {
			return errors.Join(err, bench.Fleet.SetClock(target, 0))
		}
	}
	return nil
}
