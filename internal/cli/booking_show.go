package cli

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// bookingShowCommand returns the command that shows the windows of one
// booking.
func (a *app) bookingShowCommand() *cobra.Command {
	var hours int
	command := &cobra.Command{
		Use:               "show QUEUE/NAME",
		Short:             "Show the windows of a booking and where their slices lie",
		Example:           "  decklever booking show swaps/opening\n  decklever booking show swaps/opening --hours 168 -o json",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: a.completeBookings,
	}
	bindHours(command, &hours, defaultBookingHours)
	command.RunE = a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
		name, err := parseBookingName(arguments[0])
		if err != nil {
			return err
		}
		if err := checkHours(hours); err != nil {
			return err
		}
		list, err := a.readBookings(ctx, client, hours)
		if err != nil {
			return err
		}
		list.Bookings = filterWindows(list, func(window api.BookingStatus) bool { return bookingNameOf(window) == name })
		if len(list.Bookings) == 0 {
			if err := a.checkBookingConfigured(ctx, client, name); err != nil {
				return err
			}
			a.printNotice(fmt.Sprintf("booking %s has no window in the coming %d hours", name, hours))
		}
		return a.print(list, func(writer io.Writer) { a.renderWindows(writer, list.Bookings) })
	})
	return command
}

// checkBookingConfigured returns a not-found error if the configuration in
// force has no booking of this name. It distinguishes an unknown booking from
// one without a window in the requested hours.
func (a *app) checkBookingConfigured(ctx context.Context, client *api.Client, name bookingName) error {
	status, err := a.readConfig(ctx, client)
	if err != nil {
		return err
	}
	for _, queue := range status.Config.Queues {
		hasName := func(booking api.BookingConfig) bool { return booking.Name == name.name }
		if queue.Name == name.queue && slices.ContainsFunc(queue.Bookings, hasName) {
			return nil
		}
	}
	return notFoundError("booking", name)
}

// renderWindows writes the table of windows and, if any slices are placed, a
// second table with the workers on which they are placed.
func (a *app) renderWindows(writer io.Writer, windows []api.BookingStatus) {
	a.bookingTable(windows).render(writer)
	placements := newTextTable("start", "worker", "slots", "used")
	count := 0
	for _, window := range windows {
		for _, worker := range window.Workers {
			placements.add(a.formatTime(window.Start), worker.Worker, worker.Slots, worker.Used)
			count++
		}
	}
	if count > 0 {
		_, _ = fmt.Fprintln(writer)
		placements.render(writer)
	}
}
