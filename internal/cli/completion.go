package cli

import (
	"bytes"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const completionHelp = `Write a script that makes the shell complete commands, flags and, from the
fleet, ids of jobs and names of workers, zones, queues and
bookings.`

// completionCommand returns the command that writes cobra's completion script
// for a shell.
func (a *app) completionCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "completion bash|zsh|fish",
		Short:     "Write a completion script for a shell",
		Long:      completionHelp,
		Example:   "  source <(decklever completion bash)\n  decklever completion fish > ~/.config/fish/completions/decklever.fish",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"bash", "zsh", "fish"},
		RunE: func(command *cobra.Command, arguments []string) error {
			a.started = true
			var script bytes.Buffer
			if err := writeCompletion(&script, command.Root(), arguments[0]); err != nil {
				return fmt.Errorf("make the script: %w", err)
			}
			return a.write(func(writer io.Writer) { _, _ = script.WriteTo(writer) })
		},
	}
}

// writeCompletion writes the script for one of the supported shells.
func writeCompletion(writer io.Writer, root *cobra.Command, shell string) error {
	switch shell {
	case "bash":
		return root.GenBashCompletionV2(writer, true)
	case "zsh":
		return root.GenZshCompletion(writer)
	default:
		return root.GenFishCompletion(writer, true)
	}
}
