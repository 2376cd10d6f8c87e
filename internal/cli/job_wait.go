package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const (
	// maxWaitPerRequest is the longest time for which a front delays the answer
	// to one request; a longer wait takes several requests.
	maxWaitPerRequest = 10 * time.Second
	// waitRequestSpacing is the pause between two requests of a wait. It
	// limits the request rate when a failing front answers before the wait is
	// over.
	waitRequestSpacing = 50 * time.Millisecond
)

const jobWaitHelp = `Wait until a job has ended and show its final state.

The exit code is 0 if the job succeeded, 5 if it failed or was cancelled, and 4
if it had not ended within --timeout or the fleet did not answer. An outage
shorter than 10s does not end the wait.`

// jobWaitCommand returns the command that waits for a job to end. Its --timeout
// bounds the complete wait and hides the global flag, so single requests have
// the default timeout.
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
		return a.waitAndPrintJob(ctx, client, id, timeout)
	})
	return command
}

// waitForJob reads the job until it has ended. It returns a jobNotEndedError if
// timeout passes first; a timeout of 0 means no bound.
func (a *app) waitForJob(ctx context.Context, client *api.Client, id string, timeout time.Duration) (api.JobStatus, error) {
	deadline := time.Now().Add(timeout)
	for {
		wait := maxWaitPerRequest
		if timeout > 0 {
			wait = max(0, min(wait, time.Until(deadline)))
		}
		status, err := a.readJob(ctx, client, id, wait)
		if err != nil {
			return status, requestError("wait for job "+id, err)
		}
		if status.State.Final() {
			return status, nil
		}
		if timeout > 0 && time.Until(deadline) <= 0 {
			return status, jobNotEndedError(id, status.State)
		}
		a.sleep(ctx, waitRequestSpacing)
	}
}

// readJob reads a job in one call. If wait is above 0, the front delays its
// answer until the job has ended or wait has passed, and the call's timeout is
// longer by wait.
func (a *app) readJob(ctx context.Context, client *api.Client, id string, wait time.Duration) (api.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+a.flags.timeout)
	defer cancel()
	return client.Job(ctx, id, wait)
}

// waitAndPrintJob waits for a job to end, prints it, and returns an error unless
// it succeeded. A timeout of 0 means no bound.
func (a *app) waitAndPrintJob(ctx context.Context, client *api.Client, id string, timeout time.Duration) error {
	status, waitErr := a.waitForJob(ctx, client, id, timeout)
	if waitErr != nil {
		return waitErr
	}
	if err := a.printJob(status); err != nil {
		return err
	}
	return jobResultError(status)
}
