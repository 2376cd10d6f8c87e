// Command decklever-agent is the local proxy of a side machine: it forwards
// the heartbeats of the machine's workers to the leader.
package main

import (
	"context"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/process/agentprocess"
	"github.com/decklever/decklever/internal/settings"
)

func main() {
	daemon.Main(daemon.Command(agentprocess.Program, "Local proxy between the workers of a machine and decklever's schedulers", start))
}

func start(ctx context.Context, initial settings.Agent, options settings.LoadOptions) error {
	process, err := agentprocess.New(initial, options)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
