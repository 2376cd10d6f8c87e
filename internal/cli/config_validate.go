package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// configValidateCommand returns the command that has the fleet validate a
// configuration file without proposing it.
func (a *app) configValidateCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "validate FILE|-",
		Short:             "Check a configuration without proposing it",
		Long:              "Have the fleet check a configuration without proposing it. Every wrong field is\nnamed.",
		Example:           "  decklever config validate examples/config.yaml\n  decklever config validate - < config.json",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeFiles,
		RunE: a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
			var config api.Config
			if err := a.readFile(arguments[0], &config); err != nil {
				return err
			}
			ctx, cancel := a.requestContext(ctx)
			defer cancel()
			if err := client.ValidateConfig(ctx, config); err != nil {
				return configRejectedError("validate "+arguments[0], err, &config)
			}
			return a.print(api.ValidateAnswer{Valid: true}, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "%s is valid\n", arguments[0])
			})
		}),
	}
}
