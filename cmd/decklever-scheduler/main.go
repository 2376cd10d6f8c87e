// Command decklever-scheduler runs one replica of the replicated log and, while
// that replica is the leader, the scheduler. With the setting relay it has no
// replica and only forwards operators' calls to the leader.
package main

import (
	"context"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/process/schedulerprocess"
	"github.com/decklever/decklever/internal/settings"
)

func main() {
	daemon.Main(daemon.Command(schedulerprocess.Program, "Scheduler of decklever: keeps the record, places work while it leads", start))
}

func start(ctx context.Context, initial settings.Scheduler, options settings.LoadOptions) error {
	if initial.Relay {
		relay, err := schedulerprocess.NewRelay(initial, options)
		if err != nil {
			return err
		}
		return relay.Run(ctx)
	}
	process, err := schedulerprocess.New(initial, options)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
