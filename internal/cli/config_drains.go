package cli

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/google/uuid"

	"github.com/decklever/decklever/api"
)

// Bounds of one change of the drains.
const (
	// maxChangeAttempts bounds how often a change is attempted when other
	// proposals win the race.
	maxChangeAttempts = 8
	// maxProposalAttempts bounds how often one proposal is sent while its
	// outcome is unknown.
	maxProposalAttempts = 4
)

// drainEdit changes the lists of drained workers and zones in place.
type drainEdit func(drains *api.DrainConfig)

// changeDrains reads the configuration, edits its drains and proposes the
// result. After a lost race it starts again from the new configuration with a
// new order id. While the outcome is unknown it repeats the proposal with the
// same order id, so that the change takes effect at most once.
func (a *app) changeDrains(ctx context.Context, client *api.Client, change drainEdit) error {
	for race := 1; ; race++ {
		status, err := a.readConfig(ctx, client)
		if err != nil {
			return err
		}
		config := status.Config
		config.Drains = cloneDrains(config.Drains)
		change(&config.Drains)
		if equalDrains(config.Drains, status.Config.Drains) {
			return a.printUnchanged(status)
		}
		proposal := configProposal{Base: status.Version, ID: uuid.NewString()}
		err = a.proposeWithRetries(ctx, client, &proposal, config)
		if err == nil {
			return a.finishChange(ctx, client, proposal, false)
		}
		if !isCode(err, api.CodeLostRace) || race == maxChangeAttempts {
			return err
		}
		a.printNotice(fmt.Sprintf("version %d was replaced meanwhile; reading again", proposal.Base))
	}
}

// proposeWithRetries sends a proposal, and repeats it while its outcome is
// unknown.
func (a *app) proposeWithRetries(ctx context.Context, client *api.Client, proposal *configProposal, config api.Config) error {
	for send := 1; ; send++ {
		err := a.propose(ctx, client, proposal, config)
		if !isCode(err, api.CodeOutcomeUnknown) || send == maxProposalAttempts || ctx.Err() != nil {
			return err
		}
		a.printNotice(fmt.Sprintf("outcome unknown; sending order %s again", proposal.ID))
	}
}

// printUnchanged reports that the configuration in force needs no change.
func (a *app) printUnchanged(status api.ConfigStatus) error {
	result := configProposal{Base: status.Version, Version: status.Version}
	return a.print(result, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "nothing to change in version %d\n", status.Version)
	})
}

// cloneDrains returns a copy that shares no list with the original.
func cloneDrains(drains api.DrainConfig) api.DrainConfig {
	return api.DrainConfig{Workers: slices.Clone(drains.Workers), Zones: slices.Clone(drains.Zones)}
}

// equalDrains reports whether both drain the same names in the same order.
func equalDrains(a, b api.DrainConfig) bool {
	return slices.Equal(a.Workers, b.Workers) && slices.Equal(a.Zones, b.Zones)
}

// withNames appends the names that the list does not contain.
func withNames(list, names []string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// withoutNames removes the names from the list in place.
func withoutNames(list, names []string) []string {
	return slices.DeleteFunc(list, func(name string) bool { return slices.Contains(names, name) })
}

// checkNames rejects empty names.
func checkNames(names []string) error {
	if slices.Contains(names, "") {
		return usageError("an empty name was given")
	}
	return nil
}

// warnUnknown prints a notice for each drained name that no registered worker
// has: it may be a typing error, or a worker that will return. A failed
// request is ignored, as the change itself was made.
func (a *app) warnUnknown(ctx context.Context, client *api.Client, kind string, names []string, nameOf func(api.WorkerStatus) string) {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	list, err := client.Workers(ctx)
	if err != nil {
		return
	}
	for _, name := range names {
		known := func(worker api.WorkerStatus) bool { return nameOf(worker) == name }
		if !slices.ContainsFunc(list.Workers, known) {
			a.printNotice(fmt.Sprintf("note: no worker of %s %q is registered at present", kind, name))
		}
	}
}
