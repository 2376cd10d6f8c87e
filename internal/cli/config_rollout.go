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

// rolloutPollInterval is the pause between two looks at a roll-out.
const rolloutPollInterval = 100 * time.Millisecond

// configRolloutCommand shows which process has which version.
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
				_, _ = fmt.Fprintf(writer, "version %d, %s\n\n", rollout.Version, completeness(rollout))
				processes := newTextTable("process", "role", "zone", "version", "age")
				for _, process := range rollout.Processes {
					processes.add(process.Process, process.Role, process.Zone, process.Version, formatMillis(process.AgeMillis))
				}
				processes.render(writer)
			})
		}),
	}
}

func (a *app) readRollout(ctx context.Context, client *api.Client) (api.Rollout, error) {
	return doRequest(ctx, a, "read the roll-out", client.Rollout)
}

// completeness says whether every process has the version, or how many lack it.
func completeness(rollout api.Rollout) string {
	if rollout.Complete {
		return "roll-out complete"
	}
	behind := behindVersion(rollout)
	return fmt.Sprintf("roll-out incomplete, %d of %d processes behind", len(behind), len(rollout.Processes))
}

// behindVersion names the processes that have an older version in force.
func behindVersion(rollout api.Rollout) []string {
	var names []string
	for _, process := range rollout.Processes {
		if process.Version < rollout.Version {
			names = append(names, process.Process)
		}
	}
	slices.Sort(names)
	return names
}

// waitForRollout looks until every process has the version or a newer one,
// for --timeout at most.
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
