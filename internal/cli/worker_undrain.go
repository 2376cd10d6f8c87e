package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// workerUndrainCommand returns the command that removes workers from the drains of
// the configuration.
func (a *app) workerUndrainCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "undrain NAME...",
		Short:             "Give drained workers new work again",
		Long:              "Give drained workers new work again, unless their zone is evacuated.",
		Example:           "  decklever worker undrain w7\n  decklever worker undrain w7 w8",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: a.completeWorkers,
		RunE: a.run(func(ctx context.Context, client *api.Client, names []string) error {
			if err := checkNames(names); err != nil {
				return err
			}
			return a.changeDrains(ctx, client, func(drains *api.DrainConfig) {
				drains.Workers = removeNames(drains.Workers, names)
			})
		}),
	}
}
