package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/decklever/decklever/api"
)

// Width of the chart, in characters, and default of --hours.
const (
	defaultTimelineWidth = 100
	minTimelineWidth     = 60
	maxTimelineWidth     = 1000
	defaultTimelineHours = 12
)

const timelineHelp = `Show the room that is booked over the coming hours, a line per worker or queue.

A window takes its room from the time on from which it is held until its end,
unless it was released. Room is a share: the largest of processor, memory and
accelerators, of the worker's room or, by queue, of that of all workers that are
not lost. By worker, slices that lie nowhere yet have a line of their own, as a
share of the whole fleet. The room in use is that of now, as nobody can know when
tasks end: by worker that of its open runs, by queue that of its slices in use.`

// timelineFlags are the flags of "timeline".
type timelineFlags struct {
	hours    int
	by       string
	width    int
	svg, png string
}

// timelineCommand returns the command that shows booked and used capacity over
// the coming hours.
func (a *app) timelineCommand() *cobra.Command {
	var flags timelineFlags
	command := &cobra.Command{
		Use:               "timeline",
		Short:             "Show booked and used room over the coming hours",
		Long:              timelineHelp,
		Example:           "  decklever timeline\n  decklever timeline --hours 48 --by queue --svg rooms.svg",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
	}
	bindHours(command, &flags.hours, defaultTimelineHours)
	command.Flags().StringVar(&flags.by, "by", byWorker, "a line per worker or queue")
	command.Flags().IntVar(&flags.width, "width", defaultTimelineWidth, "characters of a line of the chart")
	command.Flags().StringVar(&flags.svg, "svg", "", "draw the chart into this SVG file instead")
	command.Flags().StringVar(&flags.png, "png", "", "draw the chart into this PNG file instead")
	command.MarkFlagsMutuallyExclusive("svg", "png")
	mustRegisterCompletion(command, "by", cobra.FixedCompletions([]string{byWorker, byQueue}, cobra.ShellCompDirectiveNoFileComp))
	command.RunE = a.run(func(ctx context.Context, client *api.Client, _ []string) error {
		if err := flags.check(); err != nil {
			return err
		}
		view, err := a.readTimeline(ctx, client, flags)
		if err != nil {
			return err
		}
		return a.printTimeline(view, flags)
	})
	return command
}

// check validates the flags.
func (f timelineFlags) check() error {
	if f.by != byWorker && f.by != byQueue {
		return usageError("--by is %q, expected %s or %s", f.by, byWorker, byQueue)
	}
	if f.width < minTimelineWidth || f.width > maxTimelineWidth {
		return usageError("--width is %d, expected %d to %d", f.width, minTimelineWidth, maxTimelineWidth)
	}
	return checkHours(f.hours)
}

// readTimeline reads workers, queues and bookings and builds the timeline. The
// requests are concurrent, so the result is not a snapshot of one instant.
func (a *app) readTimeline(ctx context.Context, client *api.Client, flags timelineFlags) (timeline, error) {
	var input timelineInput
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		input.workers, err = doRequest(ctx, a, "list workers", client.Workers)
		return err
	})
	group.Go(func() (err error) {
		input.queues, err = doRequest(ctx, a, "list queues", client.Queues)
		return err
	})
	group.Go(func() (err error) {
		input.bookings, err = a.readBookings(ctx, client, flags.hours)
		return err
	})
	if err := group.Wait(); err != nil {
		return timeline{}, err
	}
	input.from = a.now()
	input.to = input.from.Add(time.Duration(flags.hours) * time.Hour)
	return input.timeline(flags.by), nil
}

// printTimeline prints the timeline. With --svg or --png it draws the chart into
// that file instead and prints the path.
func (a *app) printTimeline(view timeline, flags timelineFlags) error {
	path, format := flags.svg, "svg"
	if flags.png != "" {
		path, format = flags.png, "png"
	}
	if path == "" {
		return a.print(view, func(writer io.Writer) { renderTimeline(writer, view, a.Location, flags.width) })
	}
	if err := drawTimeline(path, format, view, a.Location); err != nil {
		return fileError(path, err)
	}
	return a.print(view, func(writer io.Writer) { _, _ = fmt.Fprintf(writer, "%s is written\n", path) })
}
