package cli

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// drainsListCommand returns the command that lists the zones with a drain
// order.
func (a *app) drainsListCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "list",
		Short:             "List the zones that are drained by orders",
		Long:              "List the zones that are drained by orders. Zones that the configuration drains are\nshown by \"config get\".",
		Example:           "  decklever drains list\n  decklever drains list -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			list, err := doRequest(ctx, a, "list drains", client.Drains)
			if err != nil {
				return err
			}
			return a.print(list, func(writer io.Writer) { drainTable(list).render(writer) })
		}),
	}
}

// drainTable returns a table with one row for each drained zone.
func drainTable(list api.DrainList) *textTable {
	drains := newTextTable("zone")
	for _, drain := range list.Zones {
		drains.add(drain.Zone)
	}
	return drains
}
