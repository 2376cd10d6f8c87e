package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// zoneEvacuateCommand returns the command that adds zones to the drains of the
// configuration.
func (a *app) zoneEvacuateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "evacuate ZONE...",
		Short: "Give the workers of zones no new work",
		Long: "Give the workers of zones no new work, by adding the zones to the drains of the\n" +
			"configuration. What still runs there beyond the drain grace is stopped and\nplaced elsewhere.",
		Example:           "  decklever zone evacuate zone-2\n  decklever zone evacuate zone-2 && decklever config rollout",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: a.completeZones,
		RunE: a.run(func(ctx context.Context, client *api.Client, zones []string) error {
			if err := checkNames(zones); err != nil {
				return err
			}
			err := a.changeDrains(ctx, client, func(drains *api.DrainConfig) {
				drains.Zones = appendMissing(drains.Zones, zones)
			})
			if err == nil {
				a.warnUnregistered(ctx, client, "zone", zones, func(worker api.WorkerStatus) string { return worker.Zone })
			}
			return err
		}),
	}
}
