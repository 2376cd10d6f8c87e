package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"
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

// order is one proposal of a configuration.
type order struct {
	Base    uint64 `json:"base"`
	ID      string `json:"order_id"`
	Version uint64 `json:"version"`
}

// configApplyCommand proposes a configuration.
func (a *app) configApplyCommand() *cobra.Command {
	var proposal order
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
		if err := a.completeOrder(ctx, client, &proposal, flags.Changed("base")); err != nil {
			return err
		}
		if err := a.propose(ctx, client, &proposal, config); err != nil {
			a.noteResend(arguments[0], proposal, err)
			return err
		}
		return a.finishChange(ctx, client, proposal, waitRollout)
	})
	return command
}

// completeOrder reads the base unless it was given and draws an order id
// unless one was given.
func (a *app) completeOrder(ctx context.Context, client *api.Client, proposal *order, hasBase bool) error {
	if proposal.ID == "" {
		proposal.ID = uuid.NewString()
	}
	if hasBase {
		return nil
	}
	status, err := a.readConfig(ctx, client)
	if err != nil {
		return err
	}
	proposal.Base = status.Version
	a.note(fmt.Sprintf("base is version %d", proposal.Base))
	return nil
}

// propose sends a proposal and notes the version that it became.
func (a *app) propose(ctx context.Context, client *api.Client, proposal *order, config api.Config) error {
	ctx, cancel := a.call(ctx)
	defer cancel()
	version, err := client.PutConfig(ctx, proposal.Base, proposal.ID, config)
	if err != nil {
		return configRefused(fmt.Sprintf("propose a configuration on version %d", proposal.Base), err, &config)
	}
	proposal.Version = version
	return nil
}

// noteResend says how to ask for an unknown outcome.
func (a *app) noteResend(path string, proposal order, err error) {
	if isCode(err, api.CodeOutcomeUnknown) {
		a.note(fmt.Sprintf("to learn the outcome: decklever config apply %s --base %d --order-id %s", path, proposal.Base, proposal.ID))
	}
}

// finishChange prints an accepted proposal, once it is rolled out if that was
// asked for.
func (a *app) finishChange(ctx context.Context, client *api.Client, proposal order, waitRollout bool) error {
	var waitErr error
	if waitRollout {
		waitErr = a.waitForRollout(ctx, client, proposal.Version)
	}
	err := a.print(proposal, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "version %d is accepted (order %s)\n", proposal.Version, proposal.ID)
		if waitRollout && waitErr == nil {
			_, _ = fmt.Fprintln(writer, "every process has it")
		}
	})
	return errors.Join(waitErr, err)
}

// isCode reports whether the error is an answer of the fleet with this code.
func isCode(err error, code api.ErrorCode) bool {
	return errors.Is(err, &api.Error{Code: code})
}
