package scenario

import (
	"context"
	"fmt"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
)

// versionChange changes a fleet from one version of the programs to the other.
type versionChange struct {
	env    Env
	target fleet.Version
	// tag is the tag of the latest configuration; each configuration has another.
	tag int
}

// changeVersions changes all processes from the previous to the present version and, once
// all run the present one, back.
func changeVersions(ctx context.Context, env Env) error {
	if err := sleep(ctx, env.Duration/16); err != nil {
		return err
	}
	if err := env.Fleet.CheckVersion(fleet.PreviousVersion); err != nil {
		return err
	}
	change := &versionChange{env: env}
	for _, version := range []fleet.Version{fleet.PresentVersion, fleet.PreviousVersion} {
		change.target = version
		if err := change.run(ctx); err != nil {
			return fmt.Errorf("change to the %s version: %w", version, err)
		}
		if err := sleep(ctx, env.Duration/16); err != nil {
			return err
		}
	}
	return nil
}

// run changes the version of all processes, one after the other, with a configuration change
// after each role.
func (c *versionChange) run(ctx context.Context) error {
	for _, role := range restartOrder {
		if err := c.changeRole(ctx, role); err != nil {
			return err
		}
		if err := c.changeConfig(ctx); err != nil {
			return err
		}
	}
	return c.env.Fleet.CheckVersion(c.target)
}

// changeRole changes the version of all processes of a role.
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

// changeSchedulers changes the version of all schedulers, and the configuration while they
// run two versions. The first to change is a follower that loses its disk, so that it gets
// snapshot and archive from a leader of the other version. The second is the leader, so that
// the leadership is transferred while both versions run.
func (c *versionChange) changeSchedulers(ctx context.Context) error {
	leading, err := leader(ctx, c.env)
	if err != nil {
		return err
	}
	followers := peersOf(c.env, leading)
	first := followers[c.env.Seed%uint64(len(followers))]
	first.UseVersion(c.target)
	if err := replaceDisk(ctx, c.env, first); err != nil {
		return err
	}
	if err := c.changeConfig(ctx); err != nil {
		return err
	}
	if err := c.restartScheduler(ctx, leading); err != nil {
		return err
	}
	if err := c.changeConfig(ctx); err != nil {
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

// restartScheduler restarts a scheduler in the target version and waits until it has
// replicated the committed log.
func (c *versionChange) restartScheduler(ctx context.Context, scheduler *fleet.Process) error {
	if err := c.restart(ctx, scheduler); err != nil {
		return err
	}
	return waitCaughtUp(ctx, c.env, scheduler)
}

// restart restarts a process in the target version and waits until it is ready.
func (c *versionChange) restart(ctx context.Context, target *fleet.Process) error {
	target.UseVersion(c.target)
	if err := target.Restart(ctx); err != nil {
		return err
	}
	if err := waitReady(ctx, target); err != nil {
		return err
	}
	return sleep(ctx, restartInterval)
}

// changeConfig puts a configuration with a new tag and checks that it is in force.
func (c *versionChange) changeConfig(ctx context.Context) error {
	c.tag++
	present, err := c.env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	proposed := order{fmt.Sprintf("lab-version-%d", c.tag), present.Version, withTag(present.Config, c.tag)}
	sendUntilAnswered(ctx, c.env.Operator, proposed)
	inForce, err := c.env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	if found := inForce.Config.Queues[0].MaxPendingTasks; found != tagBase+c.tag {
		return fmt.Errorf("order %s is not in force: version %d has the bound %d, expected %d", proposed.id, inForce.Version, found, tagBase+c.tag)
	}
	return nil
}
