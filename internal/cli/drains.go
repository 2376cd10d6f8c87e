package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// drainsCommand holds the commands about zones drained by orders.
func (a *app) drainsCommand() *cobra.Command {
	return groupCommand("drains", "Drain zones by orders that no configuration undoes",
		"  decklever drains add zone-2\n  decklever drains list\n  decklever drains remove zone-2",
		a.drainsListCommand(), a.drainsAddCommand(), a.drainsRemoveCommand())
}

// sendDrainOrders makes one call for each zone. If one fails, those before it are
// done; the same command again goes on with the rest.
func (a *app) sendDrainOrders(ctx context.Context, zones []string, drained bool, order func(context.Context, string) error) error {
	if err := checkZones(zones); err != nil {
		return err
	}
	result := api.DrainList{Zones: []api.ZoneDrain{}}
	for _, zone := range zones {
		if err := a.sendDrainOrder(ctx, zone, order); err != nil {
			return err
		}
		result.Zones = append(result.Zones, api.ZoneDrain{Zone: zone, Drained: drained})
	}
	return a.print(result, func(writer io.Writer) {
		for _, drain := range result.Zones {
			_, _ = fmt.Fprintf(writer, "zone %s is %s\n", drain.Zone, describeDrainOrder(drained))
		}
	})
}

func (a *app) sendDrainOrder(ctx context.Context, zone string, order func(context.Context, string) error) error {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	if err := order(ctx, zone); err != nil {
		return requestError("order on zone "+zone, err)
	}
	return nil
}

func describeDrainOrder(drained bool) string {
	if drained {
		return "drained by an order"
	}
	return "no longer drained by an order"
}

// checkZones refuses what is no zone before any order is given.
func checkZones(zones []string) error {
	for _, zone := range zones {
		if !api.ValidZone(zone) {
			return usageError("%q is no zone, expected 1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'", zone)
		}
	}
	return nil
}
