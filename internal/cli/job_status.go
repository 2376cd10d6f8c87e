package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// jobStatusCommand returns the command that shows the state of a job.
func (a *app) jobStatusCommand() *cobra.Command {
	var wait time.Duration
	command := &cobra.Command{
		Use:               "status ID",
		Short:             "Show the state of a job, its steps and tasks",
		Long:              "Show the state of a job, its steps and tasks.\n\nThe exit code does not depend on the state; see \"job wait\" for that.",
		Example:           "  decklever job status swap-17\n  decklever job status swap-17 --wait 10s -o json",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: a.completeJobs(1),
	}
	command.Flags().DurationVar(&wait, "wait", 0, "wait this long at most for the job to end (up to 1m)")
	command.RunE = a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
		id := arguments[0]
		if err := checkJobID(id); err != nil {
			return err
		}
		if wait < 0 || wait > api.MaxWait {
			return usageError("--wait is %v, expected 0s to %v", wait, api.MaxWait)
		}
		status, err := a.readJob(ctx, client, id, wait)
		if err != nil {
			return requestError("read job "+id, err)
		}
		return a.printJob(status)
	})
	return command
}
