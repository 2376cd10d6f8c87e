package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/run"
	"github.com/decklever/decklever/testbed/scenario"
)

const defaultDuration = 60 * time.Second

func newRunCommand() *cobra.Command {
	var chosen fleetOptions
	var name, previous, out string
	var seed uint64
	var duration time.Duration
	command := &cobra.Command{
		Use:   "run",
		Short: "Load a fleet during a scenario; print a JSON summary; exit 1 if a promise was broken",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			selected, err := scenario.Find(name)
			if err != nil {
				return err
			}
			if duration < selected.MinDuration {
				return fmt.Errorf("duration is %v, expected at least %v for %s", duration, selected.MinDuration, name)
			}
			if previous != "" && selected.FirstVersion != fleet.PreviousVersion {
				return fmt.Errorf("previous-programs is %q, but %s runs only the current programs", previous, name)
			}
			return runScenario(command, &chosen, run.Config{Scenario: selected, Seed: seed, Duration: duration, Out: out, PreviousBinaries: previous})
		},
	}
	chosen.bind(command)
	flags := command.Flags()
	flags.StringVar(&name, "scenario", "steady", "what happens during the load; see the command scenarios")
	flags.Uint64Var(&seed, "seed", 1, "seed of the load")
	flags.DurationVar(&duration, "duration", defaultDuration, "how long callers submit")
	flags.StringVar(&previous, "previous-programs", "", "folder of the programs of an earlier version, for version-change (default: the present programs)")
	flags.StringVar(&out, "out", "", "new or empty folder for all files (default: a temporary one)")
	return command
}

func runScenario(command *cobra.Command, chosen *fleetOptions, config run.Config) error {
	var err error
	if config.Deployment, config.Binaries, err = chosen.resolve(); err != nil {
		return err
	}
	if config.Out, err = folderOrTemporary(config.Out); err != nil {
		return err
	}
	config.LogLevel = chosen.logLevel
	config.Progress = command.ErrOrStderr()
	summary, err := run.Run(command.Context(), config)
	if err != nil {
		return err
	}
	if err := summary.WriteText(command.ErrOrStderr()); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(command.ErrOrStderr(), "files: %s\n", config.Out); err != nil {
		return err
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(summary); err != nil {
		return fmt.Errorf("print summary: %w", err)
	}
	if !summary.Passed {
		return errNotPassed
	}
	return nil
}

func newScenariosCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "scenarios",
		Short: "List the scenarios",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, listed := range scenario.All() {
				if _, err := fmt.Fprintf(table, "%s\t%s\tat least %v\n", listed.Name, listed.Summary, listed.MinDuration); err != nil {
					return err
				}
			}
			return table.Flush()
		},
	}
}
