package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// drainsCommand returns the "drains" command with its subcommands. Drain orders
// drain zones independently of the configuration.
func (a *app) drainsCommand() *cobra.Command {
	return groupCommand("drains", "Drain zones by orders that no configuration undoes",
		"  decklever drains add zone-2\n  decklever drains list\n  decklever drains remove zone-2",
		a.drainsListCommand(), a.drainsAddCommand(), a.drainsRemoveCommand())
}

// sendDrainOrders sends one order for each zone and stops at the first error.
// Orders are idempotent, so a failed command can be run again. drained is true if
// the orders drain the zones, and false if they end earlier drain orders.
func (a *app) sendDrainOrders(ctx context.Context, zones []string, drained bool, sendOrder func(context.Context, string) error) error {
	if err := checkZones(zones); err != nil {
		return err
	}
	result := api.DrainList{Zones: []api.ZoneDrain{}}
	for _, zone := range zones {
		if err := a.sendDrainOrder(ctx, zone, sendOrder); err != nil {
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

// sendDrainOrder sends the order for one zone, bounded by --timeout.
func (a *app) sendDrainOrder(ctx context.Context, zone string, sendOrder func(context.Context, string) error) error {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	if err := sendOrder(ctx, zone); err != nil {
		return requestError("order on zone "+zone, err)
	}
	return nil
}

// describeDrainOrder describes the state of a zone after its order.
func describeDrainOrder(drained bool) string {
	if drained {
		return "drained by an order"
	}
	return "no longer drained by an order"
}

// checkZones returns a usage error if a zone name is invalid, so that no order
// is sent for any of the zones.
func checkZones(zones []string) error {
	for _, zone := range zones {
		if !api.ValidZone(zone) {
			return usageError("%q is no zone, expected 1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'", zone)
		}
	}
	return nil
}
