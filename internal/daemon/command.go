package daemon

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/settings"
)

// Command returns a program's command. It takes no arguments and has one flag for each key
// of the settings T. It loads and validates the settings before it calls run, and returns
// the error of either.
func Command[T any](
	program, short string, run func(ctx context.Context, initial T, options settings.LoadOptions) error,
) *cobra.Command {
	command := &cobra.Command{Use: program, Short: short, Args: cobra.NoArgs}
	settings.BindFlags[T](command.Flags())
	command.RunE = func(command *cobra.Command, _ []string) error {
		options := settings.LoadOptions{Flags: command.Flags()}
		initial, err := settings.Load[T](options)
		if err != nil {
			return err
		}
		return run(command.Context(), initial, options)
	}
	return command
}
