package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"

	"github.com/decklever/decklever/api"
)

// configProposal identifies a proposed configuration by its base version and
// order id; Version is set once the proposal is accepted.
type configProposal struct {
	Base    uint64 `json:"base"`
	ID      string `json:"order_id"`
	Version uint64 `json:"version"`
}

// fillProposal generates an order id unless the proposal has one. Unless
// hasBase is set, it uses the version of the configuration in force as base.
func (a *app) fillProposal(ctx context.Context, client *api.Client, proposal *configProposal, hasBase bool) error {
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
	a.printNotice(fmt.Sprintf("base is version %d", proposal.Base))
	return nil
}

// propose sends a proposal and, once accepted, stores its version in
// proposal.Version.
func (a *app) propose(ctx context.Context, client *api.Client, proposal *configProposal, config api.Config) error {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	version, err := client.PutConfig(ctx, proposal.Base, proposal.ID, config)
	if err != nil {
		return configRejectedError(fmt.Sprintf("propose a configuration on version %d", proposal.Base), err, &config)
	}
	proposal.Version = version
	return nil
}

// finishChange prints an accepted proposal, after waiting for its roll-out if
// waitRollout is set. If that wait fails, the proposal is printed all the same
// and the error of the wait is returned.
func (a *app) finishChange(ctx context.Context, client *api.Client, proposal configProposal, waitRollout bool) error {
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
