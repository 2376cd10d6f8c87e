package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// configDifference is the result of "config diff".
type configDifference struct {
	// Version is the version of the configuration in force that the file was
	// compared with.
	Version uint64 `json:"version"`
	Equal   bool   `json:"equal"`
	// Diff is a unified diff; empty if the configurations are equal.
	Diff string `json:"diff"`
}

// configDiffCommand returns the command that compares a file with the
// configuration in force.
func (a *app) configDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE|-",
		Short: "Compare a file with the configuration in force",
		Long: "Compare a file with the configuration in force, in the unified format: what\n" +
			"\"config apply\" would remove (-) and add (+). Both are compared with defaults\nfilled in; order and comments of the file make no difference.",
		Example:           "  decklever config diff config.yaml\n  decklever config diff - < config.json",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeFiles,
		RunE: a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
			var config api.Config
			if err := a.readFile(arguments[0], &config); err != nil {
				return err
			}
			status, err := a.readConfig(ctx, client)
			if err != nil {
				return err
			}
			difference, err := compareConfigs(status, arguments[0], config)
			if err != nil {
				return err
			}
			return a.print(difference, func(writer io.Writer) { _, _ = io.WriteString(writer, difference.Diff) })
		}),
	}
}

// compareConfigs compares the configuration in force with the one read from
// path, after filling in the defaults of both.
func compareConfigs(status api.ConfigStatus, path string, config api.Config) (configDifference, error) {
	before, err := configYAML(status.Config.WithDefaults())
	if err != nil {
		return configDifference{}, err
	}
	after, err := configYAML(config.WithDefaults())
	if err != nil {
		return configDifference{}, err
	}
	diff := unifiedDiff(fmt.Sprintf("version %d", status.Version), path, before, after)
	return configDifference{Version: status.Version, Equal: diff == "", Diff: diff}, nil
}
