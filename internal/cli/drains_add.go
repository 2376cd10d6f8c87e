package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// drainsAddCommand returns the command that drains zones by drain orders.
func (a *app) drainsAddCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "add ZONE...",
		Short: "Drain zones by orders of their own",
		Long: "Give the workers of zones no new work, by an order for each zone. The orders stand\n" +
			"beside the drains of the configuration, and no configuration undoes them. What\n" +
			"still runs there beyond the drain grace is stopped and placed elsewhere. Again, it\nchanges nothing.",
		Example:           "  decklever drains add zone-2",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: a.completeZones,
		RunE: a.run(func(ctx context.Context, client *api.Client, zones []string) error {
			err := a.sendDrainOrders(ctx, zones, true, client.DrainZone)
			if err == nil {
				a.warnUnregistered(ctx, client, "zone", zones, func(worker api.WorkerStatus) string { return worker.Zone })
			}
			return err
		}),
	}
}
