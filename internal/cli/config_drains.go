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
	// maxChangeAttempts is how often a change is made anew after a lost race.
	maxChangeAttempts = 8
	// maxProposalAttempts is how often one order is sent while its outcome is unknown.
	maxProposalAttempts = 4
)

// drainEdit edits a list of drained workers or zones.
type drainEdit func(drains *api.DrainConfig)

// changeDrains reads the configuration, changes its drains and proposes it. A
// lost race is read and changed anew under a new order id; an unknown outcome
// is asked for with the same one, so that the change is made at most once.
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

// proposeWithRetries sends a proposal, and the same again while its outcome is
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

// printUnchanged says that the configuration in force is as wanted already.
func (a *app) printUnchanged(status api.ConfigStatus) error {
	result := configProposal{Base: status.Version, Version: status.Version}
	return a.print(result, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "nothing to change in version %d\n", status.Version)
	})
}

func cloneDrains(drains api.DrainConfig) api.DrainConfig {
	return api.DrainConfig{Workers: slices.Clone(drains.Workers), Zones: slices.Clone(drains.Zones)}
}

func equalDrains(a, b api.DrainConfig) bool {
	return slices.Equal(a.Workers, b.Workers) && slices.Equal(a.Zones, b.Zones)
}

// withNames is the list with the names added that it lacks.
func withNames(list, names []string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// withoutNames is the list without the names.
func withoutNames(list, names []string) []string {
	return slices.DeleteFunc(list, func(name string) bool { return slices.Contains(names, name) })
}

// checkNames refuses empty names before anything is read.
func checkNames(names []string) error {
	if slices.Contains(names, "") {
		return usageError("an empty name was given")
	}
	return nil
}

// warnUnknown names what was drained but is not registered at present: it may
// be a slip, or something that will come back. A failed look is not worth an
// error after the change was made.
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
