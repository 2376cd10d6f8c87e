package cli

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/google/uuid"

	"github.com/decklever/decklever/api"
)

// Limits of one change of the drains.
const (
	// maxChangeAttempts is the number of proposals after which a change fails
	// if each lost the race to another proposal.
	maxChangeAttempts = 8
	// maxProposalAttempts is how often one proposal is sent at most while its
	// outcome is unknown, in addition to the retries within each request.
	maxProposalAttempts = 4
)

// drainEdit modifies the lists of drained workers and zones in place.
type drainEdit func(drains *api.DrainConfig)

// changeDrains reads the configuration in force, edits its drains and proposes
// the result; if the edit changes nothing, it proposes nothing. After a lost
// race it starts again from the new configuration with a new order id. While
// the outcome is unknown it sends the same proposal with the same order id
// again, so that the change takes effect at most once.
func (a *app) changeDrains(ctx context.Context, client *api.Client, editDrains drainEdit) error {
	for attempt := 1; ; attempt++ {
		status, err := a.readConfig(ctx, client)
		if err != nil {
			return err
		}
		config := status.Config
		config.Drains = cloneDrains(config.Drains)
		editDrains(&config.Drains)
		if equalDrains(config.Drains, status.Config.Drains) {
			return a.printUnchanged(status)
		}
		proposal := configProposal{Base: status.Version, ID: uuid.NewString()}
		err = a.proposeWithRetries(ctx, client, &proposal, config)
		if err == nil {
			return a.finishChange(ctx, client, proposal, false)
		}
		if !hasErrorCode(err, api.CodeLostRace) || attempt == maxChangeAttempts {
			return err
		}
		a.printNotice(fmt.Sprintf("version %d was replaced meanwhile; reading again", proposal.Base))
	}
}

// proposeWithRetries sends a proposal and, while its outcome is unknown, sends
// it again, up to maxProposalAttempts times in all.
func (a *app) proposeWithRetries(ctx context.Context, client *api.Client, proposal *configProposal, config api.Config) error {
	for attempt := 1; ; attempt++ {
		err := a.propose(ctx, client, proposal, config)
		if !hasErrorCode(err, api.CodeOutcomeUnknown) || attempt == maxProposalAttempts || ctx.Err() != nil {
			return err
		}
		a.printNotice(fmt.Sprintf("outcome unknown; sending order %s again", proposal.ID))
	}
}

// printUnchanged prints that the configuration in force needs no change.
func (a *app) printUnchanged(status api.ConfigStatus) error {
	result := configProposal{Base: status.Version, Version: status.Version}
	return a.print(result, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "nothing to change in version %d\n", status.Version)
	})
}

// cloneDrains returns a copy that shares no slice with the original.
func cloneDrains(drains api.DrainConfig) api.DrainConfig {
	return api.DrainConfig{Workers: slices.Clone(drains.Workers), Zones: slices.Clone(drains.Zones)}
}

// equalDrains reports whether a and b have the same workers and zones in the
// same order.
func equalDrains(a, b api.DrainConfig) bool {
	return slices.Equal(a.Workers, b.Workers) && slices.Equal(a.Zones, b.Zones)
}

// appendMissing appends to the list each of the names that it does not contain
// yet.
func appendMissing(list, names []string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// removeNames removes the names from the list in place.
func removeNames(list, names []string) []string {
	return slices.DeleteFunc(list, func(name string) bool { return slices.Contains(names, name) })
}

// checkNames returns a usage error if a name is empty.
func checkNames(names []string) error {
	if slices.Contains(names, "") {
		return usageError("an empty name was given")
	}
	return nil
}

// warnUnregistered prints a notice for each drained name that no registered worker
// has: the name may be mistyped, or the worker may register later. kind says
// what the names are, and nameOf returns the corresponding name of a worker. A
// failed request is ignored, since the change itself has succeeded.
func (a *app) warnUnregistered(ctx context.Context, client *api.Client, kind string, names []string, nameOf func(api.WorkerStatus) string) {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	list, err := client.Workers(ctx)
	if err != nil {
		return
	}
	for _, name := range names {
		hasName := func(worker api.WorkerStatus) bool { return nameOf(worker) == name }
		if !slices.ContainsFunc(list.Workers, hasName) {
			a.printNotice(fmt.Sprintf("note: no worker of %s %q is registered at present", kind, name))
		}
	}
}
