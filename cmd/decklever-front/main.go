// Command decklever-front serves callers and operators: it checks requests and
// relays them to the leading scheduler.
package main

import (
	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/settings"
)

func main() {
	command := &cobra.Command{
		Use:   program,
		Short: "HTTP interface of decklever for callers and operators",
		Args:  cobra.NoArgs,
	}
	settings.BindFlags[settings.Front](command.Flags())
	command.RunE = func(command *cobra.Command, _ []string) error {
		options := settings.LoadOptions{Flags: command.Flags()}
		initial, err := settings.Load[settings.Front](options)
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
