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

// drainsListCommand lists the zones drained by orders.
func (a *app) drainsListCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "list",
		Short:             "List the zones that are drained by orders",
		Long:              "List the zones that are drained by orders. Zones that the configuration drains are\nshown by \"config get\".",
		Example:           "  decklever drains list\n  decklever drains list -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			list, err := read(ctx, a, "list drains", client.Drains)
			if err != nil {
				return err
			}
			return a.print(list, func(writer io.Writer) { drainGrid(list).render(writer) })
		}),
	}
}

func drainGrid(list api.DrainList) *grid {
	drains := newGrid("zone")
	for _, drain := range list.Zones {
		drains.add(drain.Zone)
	}
	return drains
}

// drainsAddCommand drains zones by orders.
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
			err := a.orderDrains(ctx, zones, true, client.DrainZone)
			if err == nil {
				a.warnUnknown(ctx, client, "zone", zones, func(worker api.WorkerStatus) string { return worker.Zone })
			}
			return err
		}),
	}
}

// drainsRemoveCommand takes the orders on zones back.
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
			return a.orderDrains(ctx, zones, false, client.RestoreZone)
		}),
	}
}

// orderDrains makes one call for each zone. If one fails, those before it are
// done; the same command again goes on with the rest.
func (a *app) orderDrains(ctx context.Context, zones []string, drained bool, order func(context.Context, string) error) error {
	if err := checkZones(zones); err != nil {
		return err
	}
	result := api.DrainList{Zones: []api.ZoneDrain{}}
	for _, zone := range zones {
		if err := a.orderDrain(ctx, zone, order); err != nil {
			return err
		}
		result.Zones = append(result.Zones, api.ZoneDrain{Zone: zone, Drained: drained})
	}
	return a.print(result, func(writer io.Writer) {
		for _, drain := range result.Zones {
			_, _ = fmt.Fprintf(writer, "zone %s is %s\n", drain.Zone, drainWord(drained))
		}
	})
}

func (a *app) orderDrain(ctx context.Context, zone string, order func(context.Context, string) error) error {
	ctx, cancel := a.call(ctx)
	defer cancel()
	if err := order(ctx, zone); err != nil {
		return callFailed("order on zone "+zone, err)
	}
	return nil
}

func drainWord(drained bool) string {
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
