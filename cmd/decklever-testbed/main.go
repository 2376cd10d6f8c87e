// Command decklever-testbed is a developer tool: it starts complete fleets on
// this machine, generates load, injects faults and checks decklever's
// guarantees from outside.
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

// errNotPassed makes the program exit with status 1 after a run that violated a
// guarantee or had errors.
var errNotPassed = errors.New("the run did not pass")

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

// fleetOptions holds the flags that select the fleet to start.
type fleetOptions struct {
	deployment string
	instance   int
	binaries   string
	logLevel   string
}

func (t *fleetOptions) bind(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&t.deployment, "deployment", deployment.Names()[0], "one of "+strings.Join(deployment.Names(), ", "))
	flags.IntVar(&t.instance, "instance", 0, fmt.Sprintf("0 to %d; fleets of different instances can run side by side", deployment.MaxInstance))
	flags.StringVar(&t.binaries, "bin", "", "folder of the programs (default: that of this program)")
	flags.StringVar(&t.logLevel, "log-level", "info", "log level of all processes")
}

// resolve returns the selected deployment and the folder of the programs, by
// default the folder of this program.
func (t *fleetOptions) resolve() (deployment.Deployment, string, error) {
	chosen, err := deployment.New(t.deployment, t.instance)
	if err != nil {
		return deployment.Deployment{}, "", err
	}
	if t.binaries != "" {
		return chosen, t.binaries, nil
	}
	executable, err := os.Executable()
	if err != nil {
		return deployment.Deployment{}, "", fmt.Errorf("find this program: %w", err)
	}
	return chosen, filepath.Dir(executable), nil
}

// folderOrTemporary returns the given folder, or creates a temporary one if the
// name is empty.
func folderOrTemporary(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	temporary, err := os.MkdirTemp("", "decklever-testbed-")
	if err != nil {
		return "", fmt.Errorf("create a temporary folder: %w", err)
	}
	return temporary, nil
}
