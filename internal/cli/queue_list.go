package cli

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// queueListCommand returns the command that lists queues with their pending and
// running tasks.
func (a *app) queueListCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "list",
		Short:             "List queues and what waits and runs in them",
		Example:           "  decklever queue list\n  decklever queue list -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			list, err := doRequest(ctx, a, "list queues", client.Queues)
			if err != nil {
				return err
			}
			return a.print(list, func(writer io.Writer) { queueTable(list).render(writer) })
		}),
	}
}

// queueTable builds the table of queues.
func queueTable(list api.QueueList) *textTable {
	queues := newTextTable("queue", "jobs", "waiting jobs", "pending tasks", "running tasks")
	for _, queue := range list.Queues {
		queues.add(queue.Name, queue.Jobs, queue.WaitingJobs, queue.Pending, queue.Running)
	}
	return queues
}
