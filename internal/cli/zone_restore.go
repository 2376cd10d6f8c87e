package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// zoneRestoreCommand returns the command that removes zones from the drains of the
// configuration.
func (a *app) zoneRestoreCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "restore ZONE...",
		Short:             "Take evacuated zones back into work",
		Long:              "Take evacuated zones back into work; workers that are drained by name stay so.",
		Example:           "  decklever zone restore zone-2\n  decklever zone restore zone-1 zone-2",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: a.completeZones,
		RunE: a.run(func(ctx context.Context, client *api.Client, zones []string) error {
			if err := checkNames(zones); err != nil {
				return err
			}
			return a.changeDrains(ctx, client, func(drains *api.DrainConfig) {
				drains.Zones = removeNames(drains.Zones, zones)
			})
		}),
	}
}
