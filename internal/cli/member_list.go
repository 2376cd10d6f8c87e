package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// memberListCommand returns the command that lists the schedulers with the
// replication progress of each.
func (a *app) memberListCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "list",
		Short:             "List schedulers and how far each has the log",
		Example:           "  decklever member list\n  decklever member list -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			list, err := doRequest(ctx, a, "list members", client.Members)
			if err != nil {
				return err
			}
			return a.print(list, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "token %d, committed up to %d\n\n", list.Token, list.CommitIndex)
				memberTable(list).render(writer)
			})
		}),
	}
}

// memberTable builds the table of schedulers.
func memberTable(list api.MemberList) *textTable {
	members := newTextTable("name", "zone", "address", "replica", "leader", "voter", "matched", "silent")
	for _, member := range list.Members {
		members.add(member.Name, member.Zone, member.Address, member.ReplicaID,
			formatBool(member.Leader), formatBool(member.Voter), member.Matched, formatMillis(member.SilentMillis))
	}
	return members
}
