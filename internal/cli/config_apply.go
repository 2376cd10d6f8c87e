package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const configApplyHelp = `Propose the configuration of a file in place of the one in force.

Of several proposals on the same base version exactly one wins; the others are
refused as a lost race. Without --base the version in force is read first and
is the base, so a change that was made between reading the file's source and
now is overwritten: name the base that the file was made from to be safe.

Each proposal has an order id. When the outcome is unknown (exit code 4), run
the command that is printed: with the same base and order id the fleet gives
the same answer as before, however much was changed since.`

// configApplyCommand returns the command that proposes a configuration.
func (a *app) configApplyCommand() *cobra.Command {
	var proposal configProposal
	var waitRollout bool
	command := &cobra.Command{
		Use:               "apply FILE|-",
		Short:             "Put a configuration in force",
		Long:              configApplyHelp,
		Example:           "  decklever config apply config.yaml --wait-rollout\n  decklever config apply config.yaml --base 12 --order-id evening-change",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeFiles,
	}
	flags := command.Flags()
	flags.Uint64Var(&proposal.Base, "base", 0, "version that this replaces (default: the one in force)")
	flags.StringVar(&proposal.ID, "order-id", "", "id of this proposal (default: a new one)")
	flags.BoolVar(&waitRollout, "wait-rollout", false, "wait, up to --timeout, until every process has it")
	command.RunE = a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
		var config api.Config
		if err := a.readFile(arguments[0], &config); err != nil {
			return err
		}
		if err := a.fillProposal(ctx, client, &proposal, flags.Changed("base")); err != nil {
			return err
		}
		if err := a.propose(ctx, client, &proposal, config); err != nil {
			a.printResendCommand(arguments[0], proposal, err)
			return err
		}
		return a.finishChange(ctx, client, proposal, waitRollout)
	})
	return command
}

// printResendCommand prints the command that sends the same proposal again, if
// err says that its outcome is unknown.
func (a *app) printResendCommand(path string, proposal configProposal, err error) {
	if hasErrorCode(err, api.CodeOutcomeUnknown) {
		a.printNotice(fmt.Sprintf("to learn the outcome: decklever config apply %s --base %d --order-id %s", path, proposal.Base, proposal.ID))
	}
}
