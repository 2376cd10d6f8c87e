package cli

import "github.com/spf13/cobra"

// memberCommand groups the commands about schedulers.
func (a *app) memberCommand() *cobra.Command {
	return groupCommand("member", "List schedulers", "  decklever member list", a.memberListCommand())
}
