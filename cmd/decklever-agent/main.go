// Command decklever-agent is the local proxy of a side machine: it relays the
// heartbeats of its workers to the leading scheduler.
package main

import (
	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/settings"
)

func main() {
	command := &cobra.Command{
		Use:   program,
		Short: "Local proxy between the workers of a machine and decklever's schedulers",
		Args:  cobra.NoArgs,
	}
	settings.BindFlags[settings.Agent](command.Flags())
	command.RunE = func(command *cobra.Command, _ []string) error {
		options := settings.LoadOptions{Flags: command.Flags()}
		initial, err := settings.Load[settings.Agent](options)
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
