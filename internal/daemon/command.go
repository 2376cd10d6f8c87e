package daemon

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/settings"
)

// Command returns a program's command: it takes no arguments, has one flag for
// each key of the settings T, and calls run with the settings once they are
// checked.
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
