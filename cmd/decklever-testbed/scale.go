package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/testbed/scale"
)

const defaultScaleWindow = 20 * time.Second

func newScaleCommand() *cobra.Command {
	config := scale.Config{Size: scale.TargetSize}
	var binaries string
	var sweep bool
	command := &cobra.Command{
		Use:   "scale",
		Short: "Measure what each role takes, with hollow side machines beside real processes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			executable, err := os.Executable()
			if err != nil {
				return fmt.Errorf("find this program: %w", err)
			}
			config.Executable, config.Binaries, config.Progress = executable, binaries, command.ErrOrStderr()
			if binaries == "" {
				config.Binaries = filepath.Dir(executable)
			}
			if config.Out, err = folderOrTemporary(config.Out); err != nil {
				return err
			}
			if sweep {
				return scaleSweep(command, config)
			}
			return scaleOnce(command, config)
		},
	}
	flags := command.Flags()
	flags.IntVar(&config.Size.Workers, "workers", config.Size.Workers, "side machines, each with an agent and a worker")
	flags.IntVar(&config.Size.Tasks, "tasks", config.Size.Tasks, "tasks kept running")
	flags.Float64Var(&config.Size.StartsPerSecond, "starts-per-second", config.Size.StartsPerSecond, "rate of task starts")
	flags.IntVar(&config.Size.Gangs, "gangs", config.Size.Gangs, "groups kept running, their tasks part of --tasks")
	flags.IntVar(&config.Size.GangSize, "gang-size", config.Size.GangSize, "tasks of a group")
	flags.DurationVar(&config.Window, "duration", defaultScaleWindow, "how long to measure once the tasks run")
	flags.StringVar(&config.Out, "out", "", "new or empty folder for all files (default: a temporary one)")
	flags.IntVar(&config.Instance, "instance", 0, "moves all addresses, so that fleets can run side by side")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the load")
	flags.BoolVar(&config.Faults, "faults", true, "kill some hollow workers and agents while the load grows")
	flags.StringVar(&binaries, "bin", "", "folder of the programs (default: that of this program)")
	flags.BoolVar(&sweep, "sweep", false, "measure a list of sizes and fit slopes, instead of one size")
	flags.BoolVar(&config.FitOnly, "fit-only", false, "with --sweep: take the results that are in the folder and run nothing")
	return command
}

func scaleOnce(command *cobra.Command, config scale.Config) error {
	result, err := scale.Run(command.Context(), config)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	if len(result.Violations) > 0 || len(result.Errors) > 0 {
		return errNotPassed
	}
	return nil
}

func scaleSweep(command *cobra.Command, config scale.Config) error {
	sweep, err := scale.RunSweep(command.Context(), config, scale.SweepSizes())
	if err != nil {
		return err
	}
	if err := sweep.WriteText(command.OutOrStdout()); err != nil {
		return err
	}
	for _, result := range sweep.Results {
		if len(result.Violations) > 0 || len(result.Errors) > 0 {
			return errNotPassed
		}
	}
	return nil
}
