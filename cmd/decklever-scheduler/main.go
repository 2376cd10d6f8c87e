// Command decklever-scheduler keeps the replicated record and, while it leads,
// acts as the scheduler.
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
	made, err := schedulerprocess.New(initial, options)
	if err != nil {
		return err
	}
	return made.Run(ctx)
}
