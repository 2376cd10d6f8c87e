package cli

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// bookingListCommand returns the command that lists the windows of all
// bookings.
func (a *app) bookingListCommand() *cobra.Command {
	var hours int
	command := &cobra.Command{
		Use:   "list",
		Short: "List the windows of the coming hours",
		Long: "List the windows of the coming hours, by start. Of the slots, placed lie on\n" +
			"workers and used have a task.",
		Example:           "  decklever booking list\n  decklever booking list --hours 168 -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
	}
	bindHours(command, &hours, defaultBookingHours)
	command.RunE = a.run(func(ctx context.Context, client *api.Client, _ []string) error {
		if err := checkHours(hours); err != nil {
			return err
		}
		list, err := a.readBookings(ctx, client, hours)
		if err != nil {
			return err
		}
		return a.print(list, func(writer io.Writer) { a.bookingTable(list.Bookings).render(writer) })
	})
	return command
}
