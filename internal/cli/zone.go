package cli

import "github.com/spf13/cobra"

// zoneCommand returns the group of commands for zones.
func (a *app) zoneCommand() *cobra.Command {
	return groupCommand("zone", "Empty zones and take them back",
		"  decklever zone evacuate zone-2\n  decklever zone restore zone-2",
		a.zoneEvacuateCommand(), a.zoneRestoreCommand())
}
