package cli

import "github.com/spf13/cobra"

// workerCommand returns the group of commands for workers.
func (a *app) workerCommand() *cobra.Command {
	return groupCommand("worker", "List workers and take them out of work",
		"  decklever worker list\n  decklever worker drain w7",
		a.workerListCommand(), a.workerDrainCommand(), a.workerUndrainCommand())
}
