package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/operator"
)

const fleetReadyTimeout = 60 * time.Second

func newFleetCommand() *cobra.Command {
	command := &cobra.Command{Use: "fleet", Short: "Start a fleet of real processes"}
	command.AddCommand(newFleetUpCommand())
	return command
}

func newFleetUpCommand() *cobra.Command {
	var chosen fleetOptions
	var directory string
	command := &cobra.Command{
		Use:   "up",
		Short: "Start a fleet, print where to send jobs, and end it on Ctrl-C",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return fleetUp(command.Context(), command.OutOrStdout(), &chosen, directory)
		},
	}
	chosen.bind(command)
	command.Flags().StringVar(&directory, "dir", "", "folder for settings, logs and data (default: a temporary one)")
	return command
}

func fleetUp(ctx context.Context, output io.Writer, chosen *fleetOptions, directory string) error {
	selected, binaries, err := chosen.resolve()
	if err != nil {
		return err
	}
	if directory, err = folderOrTemporary(directory); err != nil {
		return err
	}
	calls, err := calllog.Open("")
	if err != nil {
		return err
	}
	processes, err := fleet.New(fleet.Config{
		Deployment: selected, Directory: directory, Binaries: binaries, CallLog: calls, LogLevel: chosen.logLevel,
	})
	if err != nil {
		return err
	}
	err = serveFleet(ctx, output, processes, operator.New(processes.Client(), calls))
	return errors.Join(err, processes.Stop())
}

// serveFleet starts the fleet, prints how to use it and waits until ctx is
// cancelled. The caller stops the fleet.
func serveFleet(ctx context.Context, output io.Writer, processes *fleet.Fleet, operatorClient *operator.Operator) error {
	if err := processes.Start(); err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(ctx, fleetReadyTimeout)
	defer cancel()
	if err := processes.WaitReady(starting, operatorClient); err != nil {
		return fmt.Errorf("the fleet did not start, see %s: %w", processes.LogDirectory(), err)
	}
	if _, err := io.WriteString(output, usageText(processes)); err != nil {
		return fmt.Errorf("print how to use the fleet: %w", err)
	}
	<-ctx.Done()
	return nil
}

// usageText returns the fleet's addresses and example commands for it.
func usageText(processes *fleet.Fleet) string {
	selected := processes.Deployment()
	urls := selected.FrontURLs()
	shape := selected.Shapes.Short
	var text strings.Builder
	fmt.Fprintf(&text, "%s is ready: %d schedulers, %d fronts, %d agents, %d workers\n", selected.Name,
		deployment.Schedulers, deployment.Fronts, deployment.Workers, deployment.Workers)
	fmt.Fprintf(&text, "files:  %s\nfronts: %s\n\n", filepath.Dir(processes.LogDirectory()), strings.Join(urls, " "))
	fmt.Fprintf(&text, "curl -X PUT %s/v1/jobs/hello -H 'Content-Type: application/json' -d '%s'\n", urls[0], exampleJob(shape))
	fmt.Fprintf(&text, "curl '%s/v1/jobs/hello?wait=10s'\n", urls[1])
	fmt.Fprintf(&text, "export DECKLEVER_FRONTS=%s\n", strings.Join(urls, ","))
	text.WriteString("decklever status\ndecklever job list\n\nCtrl-C ends the fleet.\n")
	return text.String()
}

func exampleJob(shape deployment.Shape) string {
	return fmt.Sprintf(`{"queue":%q,"steps":[{"name":"one","tasks":[{"service":%q,"payload":{"millis":500},"resources":{"cpu_millis":%d,"memory_mb":%d}}]}]}`,
		shape.Queue, shape.Service, shape.Resources.CPUMillis, shape.Resources.MemoryMB)
}
