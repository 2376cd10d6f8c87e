package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// defaultBookingHours is the default of --hours of the booking commands.
const defaultBookingHours = 24

// bookingCommand returns the "booking" command with its subcommands.
func (a *app) bookingCommand() *cobra.Command {
	return groupCommand("booking", "Show windows of booked room and give them back",
		"  decklever booking list --hours 48\n  decklever booking show swaps/opening",
		a.bookingListCommand(), a.bookingShowCommand(), a.bookingReleaseCommand())
}

// bindHours adds the --hours flag to a command and stores its value in hours.
func bindHours(command *cobra.Command, hours *int, defaultHours int) {
	command.Flags().IntVar(hours, "hours", defaultHours, fmt.Sprintf("how far ahead to look, up to %d", api.MaxBookingHours))
}

// checkHours returns a usage error unless hours is in the range that the
// fronts accept.
func checkHours(hours int) error {
	if hours < 1 || hours > api.MaxBookingHours {
		return usageError("--hours is %d, expected 1 to %d", hours, api.MaxBookingHours)
	}
	return nil
}

// readBookings requests the booking windows of the coming hours.
func (a *app) readBookings(ctx context.Context, client *api.Client, hours int) (api.BookingList, error) {
	return doRequest(ctx, a, "list bookings", func(ctx context.Context) (api.BookingList, error) {
		return client.Bookings(ctx, time.Duration(hours)*time.Hour)
	})
}

// bookingName identifies a booking; its text form is QUEUE/NAME.
type bookingName struct{ queue, name string }

// String returns QUEUE/NAME.
func (n bookingName) String() string { return n.queue + "/" + n.name }

// bookingNameOf returns the name of the booking that a window belongs to.
func bookingNameOf(window api.BookingStatus) bookingName {
	return bookingName{queue: window.Queue, name: window.Booking}
}

// parseBookingName parses QUEUE/NAME.
func parseBookingName(text string) (bookingName, error) {
	queue, name, found := strings.Cut(text, "/")
	if !found || queue == "" || name == "" {
		return bookingName{}, usageError("booking %q, expected QUEUE/NAME, such as swaps/opening", text)
	}
	return bookingName{queue: queue, name: name}, nil
}

// filterWindows returns the windows for which matches returns true, in their
// original order. The result is never nil, so that JSON output has [] and not
// null.
func filterWindows(list api.BookingList, matches func(api.BookingStatus) bool) []api.BookingStatus {
	windows := []api.BookingStatus{}
	for _, window := range list.Bookings {
		if matches(window) {
			windows = append(windows, window)
		}
	}
	return windows
}

// bookingTable returns a table with one row for each window.
func (a *app) bookingTable(windows []api.BookingStatus) *textTable {
	table := newTextTable("booking", "start", "end", "held from", "state", "slots", "placed", "used", "slice", "service", "best effort")
	for _, window := range windows {
		table.add(bookingNameOf(window), a.formatTime(window.Start), a.formatTime(window.End), a.formatTime(window.HeldFrom), window.State,
			window.Slots, window.Placed, window.Used, formatResources(window.Slice), window.Service, formatBool(window.BestEffort))
	}
	return table
}
