package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const (
	// maxWaitPerRequest is how long one call of a longer wait is held.
	maxWaitPerRequest = 10 * time.Second
	// waitRequestSpacing stands between two calls of a wait.
	waitRequestSpacing = 50 * time.Millisecond
)

const jobWaitHelp = `Wait until a job has ended and show its final state.

The exit code is 0 if the job succeeded, 5 if it failed or was cancelled, and 4
if it had not ended within --timeout or the fleet did not answer. An outage
shorter than 10s does not end the wait.`

// jobWaitCommand waits for the end of a job. Its --timeout takes the place of
// the one of all commands, which bounds single calls.
func (a *app) jobWaitCommand() *cobra.Command {
	var timeout time.Duration
	command := &cobra.Command{
		Use:               "wait ID",
		Short:             "Wait until a job has ended",
		Long:              jobWaitHelp,
		Example:           "  decklever job wait swap-17\n  decklever job wait swap-17 --timeout 5m",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: a.completeJobs(1),
	}
	command.Flags().DurationVar(&timeout, "timeout", 0, "bound on the whole wait; 0s for none")
	command.RunE = a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
		id := arguments[0]
		if err := checkJobID(id); err != nil {
			return err
		}
		if timeout < 0 {
			return usageError("--timeout is %v, expected 0s or more", timeout)
		}
		return a.followJob(ctx, client, id, timeout)
	})
	return command
}

// waitForJob reads the job until it is final or, with a timeout above 0, that
// time is over.
func (a *app) waitForJob(ctx context.Context, client *api.Client, id string, timeout time.Duration) (api.JobStatus, error) {
	end := time.Now().Add(timeout)
	for {
		slice := maxWaitPerRequest
		if timeout > 0 {
			slice = max(0, min(slice, time.Until(end)))
		}
		status, err := a.readJob(ctx, client, id, slice)
		if err != nil {
			return status, requestError("wait for job "+id, err)
		}
		if status.State.Final() {
			return status, nil
		}
		if timeout > 0 && time.Until(end) <= 0 {
			return status, jobNotEndedError(id, status.State)
		}
		// A front in trouble answers early.
		a.sleep(ctx, waitRequestSpacing)
	}
}

// readJob reads a job once, held until the job is final or the wait is over.
func (a *app) readJob(ctx context.Context, client *api.Client, id string, wait time.Duration) (api.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+a.flags.timeout)
	defer cancel()
	return client.Job(ctx, id, wait)
}

// followJob waits for a job's end, prints it, and fails unless it succeeded.
// A timeout of 0 is no bound.
func (a *app) followJob(ctx context.Context, client *api.Client, id string, timeout time.Duration) error {
	status, waitErr := a.waitForJob(ctx, client, id, timeout)
	if waitErr != nil {
		return waitErr
	}
	if err := a.printJob(status); err != nil {
		return err
	}
	return jobResultError(status)
}
