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
	// ExitUsage: wrong settings, flags or arguments.
	ExitUsage = 2
)

// ErrUsage is what errors about settings, flags and arguments wrap.
var ErrUsage = settings.ErrUsage

// Main runs the command and exits: 0 if it succeeded, 2 on wrong settings or
// usage, 1 on any other error. Errors are one line on standard error.
func Main(command *cobra.Command) {
	os.Exit(Execute(context.Background(), command, os.Stderr))
}

// Execute is Main without the exit; it returns the exit code.
func Execute(ctx context.Context, command *cobra.Command, stderr io.Writer) int {
	started := false
	markStart(command, &started)
	command.SilenceErrors = true
	command.SilenceUsage = true
	err := command.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "%s: %s\n", command.Name(), oneLine(err)) // nowhere to report a failure of it
	if !started || errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailure
}

// oneLine is the text of an error, which has several lines if it joins others.
func oneLine(err error) string {
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}

// markStart notes that a command began its work: cobra gives errors about
// flags and arguments no type of their own, but they all come before.
func markStart(command *cobra.Command, started *bool) {
	if run := command.RunE; run != nil {
		command.RunE = func(command *cobra.Command, arguments []string) error {
			*started = true
			return run(command, arguments)
		}
	}
	for _, child := range command.Commands() {
		markStart(child, started)
	}
}
