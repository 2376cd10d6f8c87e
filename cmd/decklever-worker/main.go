// Command decklever-worker is the reference worker: it offers the built-in
// handlers through the public package worker.
package main

import (
	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/settings"
)

func main() {
	command := &cobra.Command{
		Use:   program,
		Short: "Reference worker of decklever with built-in handlers",
		Args:  cobra.NoArgs,
	}
	settings.BindFlags[settings.Worker](command.Flags())
	command.RunE = func(command *cobra.Command, _ []string) error {
		options := settings.LoadOptions{Flags: command.Flags()}
		initial, err := settings.Load[settings.Worker](options)
		if err != nil {
			return err
		}
		return run(command.Context(), initial, options)
	}
	daemon.Main(command)
}
