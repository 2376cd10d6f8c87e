package cli

import (
	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// jobCommand returns the "job" command with its subcommands.
func (a *app) jobCommand() *cobra.Command {
	return groupCommand("job", "Hand in jobs and follow them",
		"  decklever job submit swap.yaml --id swap-17\n  decklever job list --state running",
		a.jobSubmitCommand(), a.jobStatusCommand(), a.jobListCommand(), a.jobCancelCommand(), a.jobWaitCommand())
}

// checkJobID returns a usage error if a job id is missing or malformed, so that
// no request is sent for it.
func checkJobID(id string) error {
	if id == "" {
		return usageError("the id of a job is missing; for submit it is given with --id")
	}
	if !api.ValidJobID(id) {
		return usageError("job id %q, expected 1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-', the first a letter or digit", id)
	}
	return nil
}
