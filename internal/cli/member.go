package cli

import "github.com/spf13/cobra"

// memberCommand returns the group of commands for schedulers.
func (a *app) memberCommand() *cobra.Command {
	return groupCommand("member", "List schedulers", "  decklever member list", a.memberListCommand())
}
