// Command decklever-agent is the local proxy of a side machine: it relays the
// heartbeats of its workers to the leading scheduler.
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
	made, err := agentprocess.New(initial, options)
	if err != nil {
		return err
	}
	return made.Run(ctx)
}
