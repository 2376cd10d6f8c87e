package cli

import (
	"context"
	"errors"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// cancelledJobs is the result of several cancels: the state of each job
// afterwards.
type cancelledJobs struct {
	Jobs []api.JobStatus `json:"jobs"`
}

// jobCancelCommand cancels jobs.
func (a *app) jobCancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID...",
		Short: "Cancel jobs that have not ended",
		Long: "Cancel jobs that have not ended; one that has is left as it is.\n\n" +
			"Each id is tried, also after one has failed; the exit code is that of the\nfirst that failed.",
		Example:           "  decklever job cancel swap-17\n  decklever job cancel swap-17 swap-18 -o json",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: a.completeJobs(0),
		RunE: a.run(func(ctx context.Context, client *api.Client, ids []string) error {
			for _, id := range ids {
				if err := checkJobID(id); err != nil {
					return err
				}
			}
			return a.cancelJobs(ctx, client, ids)
		}),
	}
}

// cancelJobs cancels one after the other.
func (a *app) cancelJobs(ctx context.Context, client *api.Client, ids []string) error {
	result := cancelledJobs{Jobs: []api.JobStatus{}}
	var failures []error
	for _, id := range ids {
		status, err := read(ctx, a, "cancel job "+id, func(ctx context.Context) (api.JobStatus, error) {
			return client.CancelJob(ctx, id)
		})
		if err != nil {
			failures = append(failures, err)
			continue
		}
		result.Jobs = append(result.Jobs, status)
	}
	return errors.Join(append(failures, a.printCancelled(result))...)
}

func (a *app) printCancelled(result cancelledJobs) error {
	return a.print(result, func(writer io.Writer) {
		jobs := newGrid("id", "queue", "state", "ended")
		for _, status := range result.Jobs {
			jobs.add(status.ID, status.Queue, status.State, a.clockOf(status.EndedAt))
		}
		jobs.render(writer)
	})
}
