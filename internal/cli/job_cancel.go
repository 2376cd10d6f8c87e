package cli

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const jobCancelHelp = `Cancel jobs that have not ended; one that has is left as it is.

One job is answered with its state afterwards. Several are cancelled in one
call, or one for each 10,000, which answers how many it cancelled; those not
known, ended or cancelled before do not count and are no error. With --queue
all jobs of the queue are cancelled, and --yes says that this is meant.`

// cancelledJobs is the result of cancelling one job; it contains the status of
// that job afterwards.
type cancelledJobs struct {
	Jobs []api.JobStatus `json:"jobs"`
}

// jobCancelCommand returns the command that cancels jobs by id, or all jobs of a
// queue.
func (a *app) jobCancelCommand() *cobra.Command {
	var queue string
	var confirmed bool
	command := &cobra.Command{
		Use:               "cancel ID... | --queue NAME --yes",
		Short:             "Cancel jobs that have not ended",
		Long:              jobCancelHelp,
		Example:           "  decklever job cancel swap-17\n  decklever job cancel swap-17 swap-18 -o json\n  decklever job cancel --queue swaps --yes",
		ValidArgsFunction: a.completeJobs(0),
	}
	command.Flags().StringVar(&queue, "queue", "", "cancel all jobs of this queue")
	command.Flags().BoolVar(&confirmed, "yes", false, "all jobs of the queue are meant")
	mustRegisterCompletion(command, "queue", a.completeQueues)
	command.RunE = a.run(func(ctx context.Context, client *api.Client, ids []string) error {
		if command.Flags().Changed("queue") {
			return a.cancelQueue(ctx, client, queue, ids, confirmed)
		}
		if len(ids) == 0 {
			return usageError("expected ids of jobs, or --queue NAME --yes")
		}
		for _, id := range ids {
			if err := checkJobID(id); err != nil {
				return err
			}
		}
		if len(ids) == 1 {
			return a.cancelOne(ctx, client, ids[0])
		}
		return a.cancelMany(ctx, client, ids)
	})
	return command
}

// cancelOne cancels one job and prints its state afterwards.
func (a *app) cancelOne(ctx context.Context, client *api.Client, id string) error {
	status, err := doRequest(ctx, a, "cancel job "+id, func(ctx context.Context) (api.JobStatus, error) {
		return client.CancelJob(ctx, id)
	})
	if err != nil {
		return err
	}
	return a.print(cancelledJobs{Jobs: []api.JobStatus{status}}, func(writer io.Writer) {
		jobs := newTextTable("id", "queue", "state", "ended")
		jobs.add(status.ID, status.Queue, status.State, a.formatOptionalTime(status.EndedAt))
		jobs.render(writer)
	})
}

// cancelMany cancels jobs in batches of up to api.MaxCancelledJobs and prints
// how many of them were cancelled.
func (a *app) cancelMany(ctx context.Context, client *api.Client, ids []string) error {
	answer := api.CancelAnswer{}
	for batch := range slices.Chunk(ids, api.MaxCancelledJobs) {
		cancelled, err := a.requestCancellation(ctx, client, fmt.Sprintf("cancel %d jobs", len(batch)), api.CancelRequest{Jobs: batch})
		if err != nil {
			return err
		}
		answer.Cancelled += cancelled
	}
	return a.print(answer, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "%d of %d jobs cancelled\n", answer.Cancelled, len(ids))
		if answer.Cancelled < len(ids) {
			_, _ = fmt.Fprintln(writer, "the others are not known, had ended or were cancelled before")
		}
	})
}

// cancelQueue cancels all jobs of a queue. It returns a usage error if job ids
// were given as well or if --yes was not given.
func (a *app) cancelQueue(ctx context.Context, client *api.Client, queue string, ids []string, confirmed bool) error {
	if queue == "" || len(ids) > 0 {
		return usageError("expected either ids of jobs or --queue NAME --yes")
	}
	if !confirmed {
		return usageError("--queue %s cancels all its jobs; say --yes as well if that is meant", queue)
	}
	cancelled, err := a.requestCancellation(ctx, client, "cancel the jobs of queue "+queue, api.CancelRequest{Queue: queue})
	if err != nil {
		return err
	}
	return a.print(api.CancelAnswer{Cancelled: cancelled}, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "%d jobs of queue %s cancelled\n", cancelled, queue)
	})
}

// requestCancellation sends one cancel request and returns the number of jobs
// that it cancelled.
func (a *app) requestCancellation(ctx context.Context, client *api.Client, action string, request api.CancelRequest) (int, error) {
	return doRequest(ctx, a, action, func(ctx context.Context) (int, error) {
		return client.CancelJobs(ctx, request)
	})
}
