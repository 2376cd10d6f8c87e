package scenario

import (
	"context"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
)

// rollingRestart restarts one process after the other. It waits for each to
// be ready before it goes on, as a platform does.
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

// restartOrder is the order of roles in which processes are restarted.
var restartOrder = []deployment.Role{deployment.RoleScheduler, deployment.RoleFront, deployment.RoleAgent, deployment.RoleWorker}

// restartInterval is the time between the restarts of two processes.
const restartInterval = 500 * time.Millisecond
