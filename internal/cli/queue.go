package cli

import "github.com/spf13/cobra"

// queueCommand returns the group of commands for queues.
func (a *app) queueCommand() *cobra.Command {
	return groupCommand("queue", "List queues and show one",
		"  decklever queue list\n  decklever queue show swaps",
		a.queueListCommand(), a.queueShowCommand())
}
