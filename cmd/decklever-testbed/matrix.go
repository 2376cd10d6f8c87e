package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/matrix"
	"github.com/decklever/decklever/testbed/report"
	"github.com/decklever/decklever/testbed/run"
	"github.com/decklever/decklever/testbed/scenario"
)

// matrixOptions holds the flags of the command matrix. The deployment and the
// instance in target are set for each cell.
type matrixOptions struct {
	target      fleetOptions
	deployments []string
	scenarios   []string
	seeds       []string
	config      matrix.Config
}

func newMatrixCommand() *cobra.Command {
	var chosen matrixOptions
	command := &cobra.Command{
		Use:   "matrix",
		Short: "Run every scenario on every deployment with every seed; exit 1 if any promise was broken",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return chosen.run(command.Context(), command.ErrOrStderr(), command.OutOrStdout())
		},
	}
	chosen.bind(command)
	return command
}

func (m *matrixOptions) bind(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&m.deployments, "deployments", deployment.Names(), "deployments to run on")
	flags.StringSliceVar(&m.scenarios, "scenarios", nil, "scenarios to run (default: all)")
	flags.StringSliceVar(&m.seeds, "seeds", []string{"1", "2", "3"}, "seeds of load and faults")
	flags.DurationVar(&m.config.Duration, "duration", defaultDuration, "how long callers submit; longer where a scenario needs it")
	flags.IntVar(&m.config.Parallel, "parallel", 1, "runs at a time; they share this machine")
	flags.IntVar(&m.config.FirstInstance, "instance", 0, "instance of the first of the runs at a time; the others use those above")
	flags.StringVar(&m.config.Out, "out", "", "folder for the report and for one folder a run (default: a temporary one)")
	flags.StringVar(&m.target.binaries, "bin", "", "folder of the programs (default: that of this program)")
	flags.StringVar(&m.target.logLevel, "log-level", "info", "log level of all processes")
}

func (m *matrixOptions) run(ctx context.Context, progress, output io.Writer) error {
	config, err := m.complete(progress)
	if err != nil {
		return err
	}
	outcomes, err := matrix.Run(ctx, config)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(output, matrix.Table(outcomes)); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	for _, outcome := range outcomes {
		if !outcome.Passed() {
			return errNotPassed
		}
	}
	return nil
}

// complete validates the flags and returns the configuration of the matrix. It
// creates a temporary output folder if none is given.
func (m *matrixOptions) complete(progress io.Writer) (matrix.Config, error) {
	config := m.config
	config.Deployments = m.deployments
	for _, name := range m.deployments {
		if _, err := deployment.New(name, config.FirstInstance+max(1, config.Parallel)-1); err != nil {
			return config, err
		}
	}
	config.Scenarios = scenario.All()
	if len(m.scenarios) > 0 {
		config.Scenarios = nil
	}
	for _, name := range m.scenarios {
		found, err := scenario.Find(name)
		if err != nil {
			return config, err
		}
		config.Scenarios = append(config.Scenarios, found)
	}
	for _, text := range m.seeds {
		seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return config, fmt.Errorf("seed is %q, expected a whole number", text)
		}
		config.Seeds = append(config.Seeds, seed)
	}
	var err error
	config.Out, err = folderOrTemporary(config.Out)
	config.Run = m.runCell
	config.OnOutcome = func(outcome matrix.Outcome) { printOutcome(progress, outcome) }
	return config, err
}

func (m *matrixOptions) runCell(ctx context.Context, cell matrix.Cell) (report.Summary, error) {
	chosen := m.target
	chosen.deployment, chosen.instance = cell.Deployment, cell.Instance
	selected, binaries, err := chosen.resolve()
	if err != nil {
		return report.Summary{}, err
	}
	return run.Run(ctx, run.Config{
		Deployment: selected, Scenario: cell.Scenario, Seed: cell.Seed, Duration: cell.Duration,
		Out: cell.Out, Binaries: binaries, LogLevel: chosen.logLevel,
	})
}

// printOutcome prints the verdict of a run and, if the run did not pass, its
// summary. Write errors are ignored, since they do not affect the runs.
func printOutcome(progress io.Writer, outcome matrix.Outcome) {
	verdict := "passed"
	if !outcome.Passed() {
		verdict = "BROKEN " + outcome.Failure
	}
	_, _ = fmt.Fprintf(progress, "%s %s %s, seed %d: %s\n", time.Now().Format(time.TimeOnly), outcome.Deployment, outcome.Scenario, outcome.Seed, verdict)
	if outcome.Summary != nil && !outcome.Passed() {
		_ = outcome.Summary.WriteText(progress)
	}
}
