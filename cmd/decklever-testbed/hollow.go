package main

import (
	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/telemetry"
	"github.com/decklever/decklever/testbed/hollow"
)

// newHollowCommand returns the command with which a scale run starts its hollow
// processes, each of which simulates many side machines (package hollow). The
// command ends when its standard input is closed.
func newHollowCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:    "hollow",
		Short:  "Run many side machines in one process (started by scale)",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(command *cobra.Command, _ []string) error {
			spec, err := hollow.ReadSpec(path)
			if err != nil {
				return err
			}
			logger := telemetry.NewLogger(telemetry.LoggerConfig{
				Output: command.ErrOrStderr(), Format: "text", Program: "decklever-testbed", Process: "hollow",
			})
			process, err := hollow.NewProcess(spec, logger)
			if err != nil {
				return err
			}
			return process.Run(command.Context(), command.InOrStdin(), command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&path, "spec", "", "JSON file that says which nodes to run")
	return command
}
