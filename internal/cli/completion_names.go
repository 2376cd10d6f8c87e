package cli

import (
	"context"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const (
	// defaultCompletionTimeout bounds the request that a press of the tab key
	// sends.
	defaultCompletionTimeout = 500 * time.Millisecond
	// completedJobs bounds the number of suggested job ids.
	completedJobs = 200
	// completedHours is how far ahead the windows of suggested bookings may
	// start.
	completedHours = api.MaxBookingHours
)

// completeFiles suggests YAML and JSON files.
func completeFiles(_ *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return []string{"yaml", "yml", "json"}, cobra.ShellCompDirectiveFilterFileExt
}

// completeJobs suggests job ids for up to this many arguments; 0 means any
// number.
func (a *app) completeJobs(most int) cobra.CompletionFunc {
	return func(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
		if most > 0 && len(arguments) >= most {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
			list, err := client.Jobs(ctx, api.JobsQuery{Limit: completedJobs})
			return sortedNames(list.Jobs, func(job api.JobSummary) string { return job.ID }), err
		})
	}
}

// completeWorkers suggests names of workers.
func (a *app) completeWorkers(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Workers(ctx)
		return sortedNames(list.Workers, func(worker api.WorkerStatus) string { return worker.Name }), err
	})
}

// completeZones suggests zones of workers.
func (a *app) completeZones(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Workers(ctx)
		return sortedNames(list.Workers, func(worker api.WorkerStatus) string { return worker.Zone }), err
	})
}

// completeDrains suggests zones with a drain order.
func (a *app) completeDrains(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Drains(ctx)
		return sortedNames(list.Zones, func(drain api.ZoneDrain) string { return drain.Zone }), err
	})
}

// completeQueues suggests names of queues.
func (a *app) completeQueues(command *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, nil, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Queues(ctx)
		return sortedNames(list.Queues, func(queue api.QueueStatus) string { return queue.Name }), err
	})
}

// completeQueueArgument suggests names of queues for a single argument.
func (a *app) completeQueueArgument(command *cobra.Command, arguments []string, typed string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return a.completeQueues(command, arguments, typed)
}

// completeBookings suggests bookings with a window, as QUEUE/NAME.
func (a *app) completeBookings(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return a.suggest(command, nil, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Bookings(ctx, completedHours*time.Hour)
		return sortedNames(list.Bookings, func(window api.BookingStatus) string { return bookingNameOf(window).String() }), err
	})
}

// completeStarts suggests the start times, in UTC, of the windows of the
// booking that was given as the argument.
func (a *app) completeStarts(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) != 1 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return a.suggest(command, nil, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Bookings(ctx, completedHours*time.Hour)
		windows := filterWindows(list, func(window api.BookingStatus) bool { return bookingNameOf(window).String() == arguments[0] })
		return sortedNames(windows, func(window api.BookingStatus) string { return window.Start.UTC().Format(time.RFC3339) }), err
	})
}

// suggest requests names from the fleet and leaves out those already given.
// On an error it suggests nothing, since a completion has no place to show
// one.
func (a *app) suggest(command *cobra.Command, given []string, listNames func(context.Context, *api.Client) ([]string, error)) ([]string, cobra.ShellCompDirective) {
	client, err := a.client()
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(command.Context(), a.completionTimeout)
	defer cancel()
	names, err := listNames(ctx, client)
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	names = slices.DeleteFunc(names, func(name string) bool { return slices.Contains(given, name) })
	return names, cobra.ShellCompDirectiveNoFileComp
}

// sortedNames returns the distinct names of the elements, sorted.
func sortedNames[T any](list []T, nameOf func(T) string) []string {
	names := make([]string, 0, len(list))
	for _, one := range list {
		names = append(names, nameOf(one))
	}
	slices.Sort(names)
	return slices.Compact(names)
}
