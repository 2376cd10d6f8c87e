package cli

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// shownDigestLength is the number of characters of a digest shown in a table.
const shownDigestLength = 12

// configHistoryCommand returns the command that lists the accepted versions of
// the configuration.
func (a *app) configHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "history",
		Short:             "List the versions that were accepted, newest first",
		Example:           "  decklever config history\n  decklever config history -o yaml",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			history, err := doRequest(ctx, a, "read the versions", client.ConfigVersions)
			if err != nil {
				return err
			}
			return a.print(history, func(writer io.Writer) {
				versions := newTextTable("version", "accepted", "order", "digest")
				for _, version := range history.Versions {
					digest := version.Digest[:min(shownDigestLength, len(version.Digest))]
					versions.add(version.Version, a.formatTime(version.AcceptedAt), version.OrderID, digest)
				}
				versions.render(writer)
			})
		}),
	}
}
