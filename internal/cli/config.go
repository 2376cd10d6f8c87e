package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// configCommand returns the "config" command with its subcommands.
func (a *app) configCommand() *cobra.Command {
	return groupCommand("config", "Read and change the configuration of the fleet",
		"  decklever config get > config.yaml\n  decklever config apply config.yaml --wait-rollout",
		a.configGetCommand(), a.configValidateCommand(), a.configDiffCommand(), a.configApplyCommand(),
		a.configHistoryCommand(), a.configRolloutCommand())
}

// readConfig requests the configuration in force.
func (a *app) readConfig(ctx context.Context, client *api.Client) (api.ConfigStatus, error) {
	return doRequest(ctx, a, "read the configuration", client.Config)
}
