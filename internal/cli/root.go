package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// frontsVariable is the environment variable that names the fronts.
	frontsVariable = "DECKLEVER_FRONTS"
	// defaultFront is used if neither flag nor environment names a front.
	defaultFront = "http://127.0.0.1:7200"
	// defaultTimeout bounds one request. It is longer than the election of a
	// new leader takes.
	defaultTimeout = 10 * time.Second
)

const rootHelp = `decklever hands in jobs, follows them, and runs the fleet that does them.

It talks to the fronts named by --front or, without it, by the environment
variable ` + frontsVariable + `; any of them serves, and the next is asked when one does
not answer. Every call may safely be made again.

` + exitCodesHelp

// rootCommand builds the tree of commands.
func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "decklever",
		Short:         "Hand in jobs and run the fleet that does them",
		Long:          rootHelp,
		Example:       "  decklever status\n  decklever job submit swap.yaml --id swap-17 --wait",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs, // RunE refuses them by name
		RunE:          helpOrUnknown,
	}
	root.SetIn(a.In)
	root.SetOut(a.Out)
	root.SetErr(a.Err)
	root.CompletionOptions.DisableDefaultCmd = true
	a.bindGlobal(root)
	root.AddCommand(
		a.jobCommand(), a.configCommand(), a.workerCommand(), a.zoneCommand(), a.drainsCommand(),
		a.queueCommand(), a.bookingCommand(), a.memberCommand(), a.statusCommand(), a.timelineCommand(),
		a.completionCommand(), a.versionCommand(),
	)
	return root
}

// bindGlobal adds the global flags.
func (a *app) bindGlobal(root *cobra.Command) {
	fronts := []string{defaultFront}
	if value := a.Getenv(frontsVariable); value != "" {
		fronts = strings.Split(value, ",")
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.flags.fronts, "front", fronts, "base URLs of fronts, comma separated; environment: "+frontsVariable)
	flags.DurationVar(&a.flags.timeout, "timeout", defaultTimeout, "bound on each call to the fleet, with all its tries")
	flags.StringVarP(&a.flags.output, "output", "o", outputFormatTable, "form of the result: "+strings.Join(outputFormats, ", "))
	mustComplete(root, "output", cobra.FixedCompletions(outputFormats, cobra.ShellCompDirectiveNoFileComp))
}

// groupCommand returns a command that only has subcommands. Without its RunE,
// cobra would answer an unknown subcommand with the help text and exit code
// 0.
func groupCommand(name, short, example string, children ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: example,
		RunE:    helpOrUnknown,
	}
	group.AddCommand(children...)
	return group
}

// helpOrUnknown is the RunE of a command that only has subcommands.
func helpOrUnknown(command *cobra.Command, arguments []string) error {
	if len(arguments) == 0 {
		return command.Help()
	}
	return unknownCommand(command, arguments[0])
}

// unknownCommand returns a usage error that suggests similar commands.
func unknownCommand(command *cobra.Command, name string) error {
	command.SuggestionsMinimumDistance = 2
	text := fmt.Sprintf("unknown command %q for %q", name, command.CommandPath())
	if likely := command.SuggestionsFor(name); len(likely) > 0 {
		text += "; did you mean " + strings.Join(likely, " or ") + "?"
	}
	return usageError("%s", text)
}

// mustComplete registers the completion of a flag. It panics if the flag does
// not exist, which is a mistake in the program.
func mustComplete(command *cobra.Command, flag string, complete cobra.CompletionFunc) {
	if err := command.RegisterFlagCompletionFunc(flag, complete); err != nil {
		panic(err)
	}
}
