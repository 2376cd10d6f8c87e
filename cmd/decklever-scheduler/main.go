// Command decklever-scheduler keeps the replicated record and, while it leads,
// acts as the scheduler.
package main

import (
	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/settings"
)

func main() {
	command := &cobra.Command{
		Use:   program,
		Short: "Scheduler of decklever: keeps the record, places work while it leads",
		Args:  cobra.NoArgs,
	}
	settings.BindFlags[settings.Scheduler](command.Flags())
	command.RunE = func(command *cobra.Command, _ []string) error {
		options := settings.LoadOptions{Flags: command.Flags()}
		initial, err := settings.Load[settings.Scheduler](options)
		if err != nil {
			return err
		}
		process, err := newProcess(initial, options)
		if err != nil {
			return err
		}
		return process.run(command.Context())
	}
	daemon.Main(command)
}
