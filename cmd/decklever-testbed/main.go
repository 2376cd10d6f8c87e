// Command decklever-testbed starts whole fleets on this machine, drives load,
// causes faults and checks the promises from outside. It is for developers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/testbed/deployment"
)

// errBroken makes the program exit with 1 after a run that did not pass.
var errBroken = errors.New("the run did not pass")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "decklever-testbed:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "decklever-testbed",
		Short:         "Run fleets of decklever on this machine and check its promises",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newFleetCommand(), newScaleCommand(), newHollowCommand(), newRunCommand(), newMatrixCommand(), newScenariosCommand())
	return command
}

// target is the flags that say which fleet to start.
type target struct {
	deployment string
	instance   int
	binaries   string
	logLevel   string
}

func (t *target) bind(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&t.deployment, "deployment", deployment.Names()[0], "one of "+strings.Join(deployment.Names(), ", "))
	flags.IntVar(&t.instance, "instance", 0, fmt.Sprintf("0 to %d; fleets of different instances can run side by side", deployment.MaxInstance))
	flags.StringVar(&t.binaries, "bin", "", "folder of the programs (default: that of this program)")
	flags.StringVar(&t.logLevel, "log-level", "info", "log level of all processes")
}

// resolve returns the deployment and the folder of the programs.
func (t *target) resolve() (deployment.Deployment, string, error) {
	chosen, err := deployment.New(t.deployment, t.instance)
	if err != nil {
		return deployment.Deployment{}, "", err
	}
	if t.binaries != "" {
		return chosen, t.binaries, nil
	}
	self, err := os.Executable()
	if err != nil {
		return deployment.Deployment{}, "", fmt.Errorf("find this program: %w", err)
	}
	return chosen, filepath.Dir(self), nil
}

// folder returns the given folder, or a new one for temporary files.
func folder(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	made, err := os.MkdirTemp("", "decklever-testbed-")
	if err != nil {
		return "", fmt.Errorf("make a folder: %w", err)
	}
	return made, nil
}
