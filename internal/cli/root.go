package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// frontsVariable is the environment variable with the base URLs of the
	// fronts, separated by commas.
	frontsVariable = "DECKLEVER_FRONTS"
	// defaultFront is used if neither --front nor frontsVariable is set.
	defaultFront = "http://127.0.0.1:7200"
	// defaultTimeout bounds one request. It is longer than the election of a
	// leader, so a request can succeed on a retry after the election.
	defaultTimeout = 10 * time.Second
)

const rootHelp = `decklever hands in jobs, follows them, and runs the fleet that does them.

It talks to the fronts named by --front or, without it, by the environment
variable ` + frontsVariable + `; any of them serves, and the next is asked when one does
not answer. Every call may safely be made again.

` + exitCodesHelp

// rootCommand returns the root command with all subcommands.
func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "decklever",
		Short:         "Hand in jobs and run the fleet that does them",
		Long:          rootHelp,
		Example:       "  decklever status\n  decklever job submit swap.yaml --id swap-17 --wait",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs, // helpOrUnknown rejects an argument as an unknown command
		RunE:          helpOrUnknown,
	}
	root.SetIn(a.In)
	root.SetOut(a.Out)
	root.SetErr(a.Err)
	root.CompletionOptions.DisableDefaultCmd = true
	a.bindGlobalFlags(root)
	root.AddCommand(
		a.jobCommand(), a.configCommand(), a.workerCommand(), a.zoneCommand(), a.drainsCommand(),
		a.queueCommand(), a.bookingCommand(), a.memberCommand(), a.statusCommand(), a.timelineCommand(),
		a.completionCommand(), a.versionCommand(),
	)
	return root
}

// bindGlobalFlags adds the global flags to the root command. The default of
// --front comes from frontsVariable if it is set.
func (a *app) bindGlobalFlags(root *cobra.Command) {
	fronts := []string{defaultFront}
	if value := a.Getenv(frontsVariable); value != "" {
		fronts = strings.Split(value, ",")
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.flags.fronts, "front", fronts, "base URLs of fronts, comma separated; environment: "+frontsVariable)
	flags.DurationVar(&a.flags.timeout, "timeout", defaultTimeout, "bound on each call to the fleet, with all its tries")
	flags.StringVarP(&a.flags.output, "output", "o", outputFormatTable, "form of the result: "+strings.Join(outputFormats, ", "))
	mustRegisterCompletion(root, "output", cobra.FixedCompletions(outputFormats, cobra.ShellCompDirectiveNoFileComp))
}

// groupCommand returns a command that only has subcommands. Without a RunE,
// cobra would print the help text for an unknown subcommand and return no
// error, which gives exit code 0.
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

// helpOrUnknown is the RunE of a command that only has subcommands: it prints the
// help text, or returns a usage error if there is an argument.
func helpOrUnknown(command *cobra.Command, arguments []string) error {
	if len(arguments) == 0 {
		return command.Help()
	}
	return unknownCommand(command, arguments[0])
}

// unknownCommand returns a usage error that suggests commands with similar
// names.
func unknownCommand(command *cobra.Command, name string) error {
	command.SuggestionsMinimumDistance = 2
	text := fmt.Sprintf("unknown command %q for %q", name, command.CommandPath())
	if suggestions := command.SuggestionsFor(name); len(suggestions) > 0 {
		text += "; did you mean " + strings.Join(suggestions, " or ") + "?"
	}
	return usageError("%s", text)
}

// mustRegisterCompletion registers the shell completion of a flag. It panics if the flag
// does not exist, which is a programming error.
func mustRegisterCompletion(command *cobra.Command, flag string, complete cobra.CompletionFunc) {
	if err := command.RegisterFlagCompletionFunc(flag, complete); err != nil {
		panic(err)
	}
}
