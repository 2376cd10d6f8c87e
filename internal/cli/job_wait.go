package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
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
