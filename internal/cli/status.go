package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/decklever/decklever/api"
)

// fleetStatus is the result of "status". It combines the answers to four
// concurrent requests, so it is not a snapshot of one instant.
type fleetStatus struct {
	Members api.MemberList `json:"members"`
	Workers api.WorkerList `json:"workers"`
	Queues  api.QueueList  `json:"queues"`
	Rollout api.Rollout    `json:"rollout"`
}

// workerStates lists the worker states in the order in which they are shown.
var workerStates = []api.WorkerState{
	api.WorkerReady, api.WorkerWaiting, api.WorkerSuspect, api.WorkerProbation, api.WorkerDraining, api.WorkerSilent, api.WorkerLost,
}

// statusCommand returns the command that shows the fleet on one screen.
func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "status",
		Short:             "Show the fleet on one screen",
		Long:              "Show the fleet on one screen: leader and members, workers by state, queues, and\nthe configuration with its roll-out.",
		Example:           "  decklever status\n  decklever status -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			status, err := a.readStatus(ctx, client)
			if err != nil {
				return err
			}
			return a.print(status, func(writer io.Writer) { renderStatus(writer, status) })
		}),
	}
}

// readStatus sends the four requests concurrently and returns the first error.
func (a *app) readStatus(ctx context.Context, client *api.Client) (fleetStatus, error) {
	var status fleetStatus
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		status.Members, err = doRequest(ctx, a, "list members", client.Members)
		return err
	})
	group.Go(func() (err error) {
		status.Workers, err = doRequest(ctx, a, "list workers", client.Workers)
		return err
	})
	group.Go(func() (err error) {
		status.Queues, err = doRequest(ctx, a, "list queues", client.Queues)
		return err
	})
	group.Go(func() (err error) {
		status.Rollout, err = a.readRollout(ctx, client)
		return err
	})
	err := group.Wait()
	return status, err
}

// renderStatus writes the summary and the tables of members and queues.
func renderStatus(writer io.Writer, status fleetStatus) {
	_, _ = fmt.Fprintf(writer, "leader         %s\n", describeLeader(status.Members))
	_, _ = fmt.Fprintf(writer, "workers        %s\n", describeWorkerCounts(status.Workers))
	_, _ = fmt.Fprintf(writer, "configuration  version %d, %s\n\n", status.Rollout.Version, describeRollout(status.Rollout))
	memberTable(status.Members).render(writer)
	_, _ = fmt.Fprintln(writer)
	queueTable(status.Queues).render(writer)
}

// describeLeader returns the leader's name, zone and token, or emptyCell if there
// is no leader.
func describeLeader(list api.MemberList) string {
	for _, member := range list.Members {
		if member.Leader {
			return formatCell(fmt.Sprintf("%s in %s (token %d)", member.Name, member.Zone, list.Token))
		}
	}
	return emptyCell
}

// describeWorkerCounts returns the number of workers and of those in each state,
// in the order of workerStates. States without workers are omitted.
func describeWorkerCounts(list api.WorkerList) string {
	counts := make(map[api.WorkerState]int, len(workerStates))
	for _, worker := range list.Workers {
		counts[worker.State]++
	}
	parts := []string{fmt.Sprintf("%d in all", len(list.Workers))}
	for _, state := range workerStates {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return strings.Join(parts, ", ")
}
