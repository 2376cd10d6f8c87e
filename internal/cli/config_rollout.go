package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// rolloutPollInterval is the time between two reads of the roll-out state.
const rolloutPollInterval = 100 * time.Millisecond

// configRolloutCommand returns the command that shows which version of the
// configuration each process has in force.
func (a *app) configRolloutCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "rollout",
		Short:             "Show which process has which version in force",
		Example:           "  decklever config rollout\n  decklever config rollout -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: a.run(func(ctx context.Context, client *api.Client, _ []string) error {
			rollout, err := a.readRollout(ctx, client)
			if err != nil {
				return err
			}
			return a.print(rollout, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "version %d, %s\n\n", rollout.Version, describeRollout(rollout))
				processes := newTextTable("process", "role", "zone", "version", "age")
				for _, process := range rollout.Processes {
					processes.add(process.Process, process.Role, process.Zone, process.Version, formatMillis(process.AgeMillis))
				}
				processes.render(writer)
			})
		}),
	}
}

// readRollout requests the state of the roll-out.
func (a *app) readRollout(ctx context.Context, client *api.Client) (api.Rollout, error) {
	return doRequest(ctx, a, "read the roll-out", client.Rollout)
}

// describeRollout describes whether the roll-out is complete, or how many
// processes are behind.
func describeRollout(rollout api.Rollout) string {
	if rollout.Complete {
		return "roll-out complete"
	}
	behind := processesBehind(rollout)
	return fmt.Sprintf("roll-out incomplete, %d of %d processes behind", len(behind), len(rollout.Processes))
}

// processesBehind returns the sorted names of the processes with an older
// version in force than the newest accepted one.
func processesBehind(rollout api.Rollout) []string {
	var names []string
	for _, process := range rollout.Processes {
		if process.Version < rollout.Version {
			names = append(names, process.Process)
		}
	}
	slices.Sort(names)
	return names
}

// waitForRollout polls, for at most --timeout, until every process has the
// version or a newer one in force. After the timeout it returns an error that
// names the processes still behind in the last answer.
func (a *app) waitForRollout(ctx context.Context, client *api.Client, version uint64) error {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	var last api.Rollout
	for {
		rollout, err := client.Rollout(ctx)
		if err == nil {
			last = rollout
		} else if ctx.Err() == nil {
			return requestError("wait for the roll-out", err)
		}
		if last.Complete && last.Version >= version {
			return nil
		}
		if !a.sleep(ctx, rolloutPollInterval) {
			return rolloutIncompleteError(version, last)
		}
	}
}
