package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// configGetCommand returns the command that shows the configuration in force.
// Where other commands print a table, it prints YAML that "config apply"
// accepts.
func (a *app) configGetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Show the configuration in force",
		Long: "Show the configuration in force.\n\nThe plain form is YAML that \"config apply\" takes again, with the version in a\n" +
			"comment; with -o json or -o yaml it is the answer of the API, with the version\nas a field.",
		Example:           "  decklever config get > config.yaml\n  decklever config get -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			status, err := a.readConfig(ctx, client)
			if err != nil {
				return err
			}
			text, err := configYAML(status.Config)
			if err != nil {
				return err
			}
			return a.print(status, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "# version %d\n%s", status.Version, text)
			})
		}),
	}
}

// configYAML encodes a configuration as YAML, with the fields in the order of
// the API.
func configYAML(config api.Config) ([]byte, error) {
	data, err := marshal(config)
	if err != nil {
		return nil, fmt.Errorf("form the configuration: %w", err)
	}
	text, err := yamlFromJSON(data)
	if err != nil {
		return nil, fmt.Errorf("form the configuration: %w", err)
	}
	return text, nil
}
