package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// bookingReleaseCommand returns the command that releases the capacity of a
// booking window before its end.
func (a *app) bookingReleaseCommand() *cobra.Command {
	var startText string
	command := &cobra.Command{
		Use:   "release QUEUE/NAME --start TIME",
		Short: "Give the room of a window back early",
		Long: "Give the room of a window back early, once the queue has no more work for it.\n" +
			"The start names the window, as \"booking show\" has it. Again, it changes nothing.",
		Example:           "  decklever booking release swaps/opening --start 2026-01-31T14:00:00Z",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: a.completeBookings,
	}
	command.Flags().StringVar(&startText, "start", "", "start of the window, such as 2026-01-31T14:00:00Z (required)")
	mustRegisterCompletion(command, "start", a.completeStarts)
	command.RunE = a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
		name, err := parseBookingName(arguments[0])
		if err != nil {
			return err
		}
		start, err := time.Parse(time.RFC3339, startText)
		if err != nil {
			return usageError("--start is %q, expected a time such as 2026-01-31T14:00:00Z", startText)
		}
		request := api.ReleaseRequest{Queue: name.queue, Booking: name.name, Start: start}
		if err := a.releaseWindow(ctx, client, request); err != nil {
			return requestError(fmt.Sprintf("release %s at %s", name, a.formatTime(start)), err)
		}
		return a.print(api.ReleaseAnswer{Released: true}, func(writer io.Writer) {
			_, _ = fmt.Fprintf(writer, "booking %s: the window at %s is released\n", name, a.formatTime(start))
		})
	})
	return command
}

// releaseWindow sends the release request, bounded by --timeout.
func (a *app) releaseWindow(ctx context.Context, client *api.Client, request api.ReleaseRequest) error {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	return client.ReleaseBooking(ctx, request)
}
