package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// drainsRemoveCommand returns the command that removes the drain orders of
// zones.
func (a *app) drainsRemoveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "remove ZONE...",
		Short: "Take the orders on zones back",
		Long: "Take the orders on zones back. What the configuration drains stays drained. Again,\n" +
			"it changes nothing.",
		Example:           "  decklever drains remove zone-2",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: a.completeDrains,
		RunE: a.run(func(ctx context.Context, client *api.Client, zones []string) error {
			return a.sendDrainOrders(ctx, zones, false, client.RestoreZone)
		}),
	}
}
