package cli

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// workerListCommand returns the command that lists the registered workers.
func (a *app) workerListCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "list",
		Short:             "List workers with their state and room",
		Long:              "List workers with their state and room; room is shown as used/all.",
		Example:           "  decklever worker list\n  decklever worker list -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			list, err := doRequest(ctx, a, "list workers", client.Workers)
			if err != nil {
				return err
			}
			return a.print(list, func(writer io.Writer) { workerTable(list).render(writer) })
		}),
	}
}

// workerTable builds the table of workers.
func workerTable(list api.WorkerList) *textTable {
	workers := newTextTable("name", "zone", "state", "runs", "cpu millis", "memory mb", "accelerators", "silent", "services", "reason")
	for _, worker := range list.Workers {
		workers.add(worker.Name, worker.Zone, worker.State, worker.Runs,
			formatUsage(worker.Used.CPUMillis, worker.Capacity.CPUMillis),
			formatUsage(worker.Used.MemoryMB, worker.Capacity.MemoryMB),
			formatUsage(worker.Used.Accelerators, worker.Capacity.Accelerators),
			formatMillis(worker.SilentMillis), formatNames(worker.Services), worker.Reason)
	}
	return workers
}
