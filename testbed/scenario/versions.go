package scenario

import (
	"context"
	"fmt"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
)

// versionChange takes a fleet from one version of the programs to the other.
type versionChange struct {
	env Env
	to  fleet.Version
	// tag is that of the newest configuration; each has one of its own.
	tag int
}

// changeVersions changes every process from the previous programs to the present
// ones and, once all run those, back.
func changeVersions(ctx context.Context, env Env) error {
	if err := sleep(ctx, env.Duration/16); err != nil {
		return err
	}
	if err := env.Fleet.CheckVersion(fleet.PreviousVersion); err != nil {
		return err
	}
	change := &versionChange{env: env}
	for _, version := range []fleet.Version{fleet.PresentVersion, fleet.PreviousVersion} {
		change.to = version
		if err := change.run(ctx); err != nil {
			return fmt.Errorf("change to the %s version: %w", version, err)
		}
		if err := sleep(ctx, env.Duration/16); err != nil {
			return err
		}
	}
	return nil
}

// run changes all processes, one after the other, with a change of configuration
// after each role.
func (c *versionChange) run(ctx context.Context) error {
	for _, role := range restartOrder {
		if err := c.changeRole(ctx, role); err != nil {
			return err
		}
		if err := c.configure(ctx); err != nil {
			return err
		}
	}
	return c.env.Fleet.CheckVersion(c.to)
}

func (c *versionChange) changeRole(ctx context.Context, role deployment.Role) error {
	if role == deployment.RoleScheduler {
		return c.changeSchedulers(ctx)
	}
	for _, target := range c.env.Fleet.ByRole(role) {
		if err := c.restart(ctx, target); err != nil {
			return err
		}
	}
	return nil
}

// changeSchedulers changes the configuration while the schedulers are of two versions.
// The first to change is a follower that loses its disk, so that it gets snapshot and
// archive from a leader of the other version; the leader comes second, so that the
// leadership is transferred while both versions run.
func (c *versionChange) changeSchedulers(ctx context.Context) error {
	leading, err := leader(ctx, c.env)
	if err != nil {
		return err
	}
	followers := peersOf(c.env, leading)
	first := followers[c.env.Seed%uint64(len(followers))]
	first.UseVersion(c.to)
	if err := replaceDisk(ctx, c.env, first); err != nil {
		return err
	}
	if err := c.configure(ctx); err != nil {
		return err
	}
	if err := c.restartScheduler(ctx, leading); err != nil {
		return err
	}
	if err := c.configure(ctx); err != nil {
		return err
	}
	for _, follower := range followers {
		if follower == first {
			continue
		}
		if err := c.restartScheduler(ctx, follower); err != nil {
			return err
		}
	}
	return nil
}

// restartScheduler also waits until the scheduler has what the others have.
func (c *versionChange) restartScheduler(ctx context.Context, scheduler *fleet.Process) error {
	if err := c.restart(ctx, scheduler); err != nil {
		return err
	}
	return waitCaughtUp(ctx, c.env, scheduler)
}

// restart ends a process and starts it in the version to come.
func (c *versionChange) restart(ctx context.Context, target *fleet.Process) error {
	target.UseVersion(c.to)
	if err := target.Restart(ctx); err != nil {
		return err
	}
	if err := waitReady(ctx, target); err != nil {
		return err
	}
	return sleep(ctx, restartInterval)
}

// configure orders a configuration and sees it in force.
func (c *versionChange) configure(ctx context.Context) error {
	c.tag++
	present, err := c.env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	wanted := order{fmt.Sprintf("lab-version-%d", c.tag), present.Version, tagged(present.Config, c.tag)}
	sendUntilAnswered(ctx, c.env.Operator, wanted)
	inForce, err := c.env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	if found := inForce.Config.Queues[0].MaxPendingTasks; found != tagBase+c.tag {
		return fmt.Errorf("order %s is not in force: version %d has the bound %d, expected %d", wanted.id, inForce.Version, found, tagBase+c.tag)
	}
	return nil
}
