package scenario

import (
	"context"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
)

// rollingRestart restarts one process after the other. It waits until each is ready before
// it restarts the next, as a platform does.
func rollingRestart(ctx context.Context, env Env) error {
	if err := sleep(ctx, env.Duration/8); err != nil {
		return err
	}
	for _, role := range restartOrder {
		for _, target := range env.Fleet.ByRole(role) {
			if err := target.Restart(ctx); err != nil {
				return err
			}
			if err := waitReady(ctx, target); err != nil {
				return err
			}
			if err := sleep(ctx, restartInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// restartOrder is the order in which the roles are restarted.
var restartOrder = []deployment.Role{deployment.RoleScheduler, deployment.RoleFront, deployment.RoleAgent, deployment.RoleWorker}

// restartInterval is the time from one process being ready to the next restart.
const restartInterval = 500 * time.Millisecond
