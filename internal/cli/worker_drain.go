package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// workerDrainCommand returns the command that adds workers to the drains of the
// configuration.
func (a *app) workerDrainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain NAME...",
		Short: "Give workers no new work",
		Long: "Give workers no new work, by adding them to the drains of the configuration.\n" +
			"What still runs there beyond the drain grace is stopped and placed elsewhere.",
		Example:           "  decklever worker drain w7\n  decklever worker drain w7 w8",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: a.completeWorkers,
		RunE: a.run(func(ctx context.Context, client *api.Client, names []string) error {
			if err := checkNames(names); err != nil {
				return err
			}
			err := a.changeDrains(ctx, client, func(drains *api.DrainConfig) {
				drains.Workers = appendMissing(drains.Workers, names)
			})
			if err == nil {
				a.warnUnregistered(ctx, client, "name", names, func(worker api.WorkerStatus) string { return worker.Name })
			}
			return err
		}),
	}
}
