package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/settings"
)

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage is the code for invalid settings, flags or arguments.
	ExitUsage = 2
)

// ErrUsage is wrapped by errors about settings, and makes Execute return ExitUsage.
var ErrUsage = settings.ErrUsage

// Main runs the command and exits: with 0 if it succeeded, 2 on invalid settings, flags or
// arguments, and 1 on any other error. It prints an error as one line on standard error.
func Main(command *cobra.Command) {
	os.Exit(Execute(context.Background(), command, os.Stderr))
}

// Execute does the same as Main, but returns the exit code instead of exiting.
func Execute(ctx context.Context, command *cobra.Command, stderr io.Writer) int {
	started := false
	trackStart(command, &started)
	command.SilenceErrors = true
	command.SilenceUsage = true
	err := command.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "%s: %s\n", command.Name(), oneLine(err)) // a failed write to stderr cannot be reported
	if !started || errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailure
}

// oneLine returns the text of an error on one line; errors.Join separates with newlines.
func oneLine(err error) string {
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}

// trackStart makes the command and its children set started when RunE begins. Cobra has no
// error type for invalid flags and arguments, but returns such errors before RunE only.
func trackStart(command *cobra.Command, started *bool) {
	if run := command.RunE; run != nil {
		command.RunE = func(command *cobra.Command, arguments []string) error {
			*started = true
			return run(command, arguments)
		}
	}
	for _, child := range command.Commands() {
		trackStart(child, started)
	}
}
