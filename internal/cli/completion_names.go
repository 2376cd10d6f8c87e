package cli

import (
	"context"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const (
	// defaultCompletionTimeout bounds the request that one completion sends:
	// the shell blocks until it ends.
	defaultCompletionTimeout = 500 * time.Millisecond
	// maxSuggestedJobs is the maximum number of suggested job ids.
	maxSuggestedJobs = 200
	// suggestedBookingHours is how far ahead, in hours, a booking must have a
	// window to be suggested.
	suggestedBookingHours = api.MaxBookingHours
)

// completeFiles suggests YAML and JSON files for a single argument.
func completeFiles(_ *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return []string{"yaml", "yml", "json"}, cobra.ShellCompDirectiveFilterFileExt
}

// completeJobs returns a completion of job ids for at most maxArguments
// arguments; 0 means no limit.
func (a *app) completeJobs(maxArguments int) cobra.CompletionFunc {
	return func(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
		if maxArguments > 0 && len(arguments) >= maxArguments {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
			list, err := client.Jobs(ctx, api.JobsQuery{Limit: maxSuggestedJobs})
			return sortedNames(list.Jobs, func(job api.JobSummary) string { return job.ID }), err
		})
	}
}

// completeWorkers suggests worker names.
func (a *app) completeWorkers(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Workers(ctx)
		return sortedNames(list.Workers, func(worker api.WorkerStatus) string { return worker.Name }), err
	})
}

// completeZones suggests the zones of the registered workers.
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

// completeQueues suggests queue names.
func (a *app) completeQueues(command *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, nil, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Queues(ctx)
		return sortedNames(list.Queues, func(queue api.QueueStatus) string { return queue.Name }), err
	})
}

// completeQueueArgument suggests queue names for a single argument.
func (a *app) completeQueueArgument(command *cobra.Command, arguments []string, toComplete string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return a.completeQueues(command, arguments, toComplete)
}

// completeBookings suggests bookings that have a window, as QUEUE/NAME, for a
// single argument.
func (a *app) completeBookings(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return a.suggest(command, nil, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Bookings(ctx, suggestedBookingHours*time.Hour)
		return sortedNames(list.Bookings, func(window api.BookingStatus) string { return bookingNameOf(window).String() }), err
	})
}

// completeStarts suggests the start times, in UTC, of the windows of the
// booking that the command's only argument names.
func (a *app) completeStarts(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) != 1 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return a.suggest(command, nil, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Bookings(ctx, suggestedBookingHours*time.Hour)
		windows := filterWindows(list, func(window api.BookingStatus) bool { return bookingNameOf(window).String() == arguments[0] })
		return sortedNames(windows, func(window api.BookingStatus) string { return window.Start.UTC().Format(time.RFC3339) }), err
	})
}

// suggest requests names from the fleet and returns them without the excluded
// ones. On an error it returns no names, since a completion script cannot
// display an error.
func (a *app) suggest(command *cobra.Command, excluded []string, listNames func(context.Context, *api.Client) ([]string, error)) ([]string, cobra.ShellCompDirective) {
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
	names = slices.DeleteFunc(names, func(name string) bool { return slices.Contains(excluded, name) })
	return names, cobra.ShellCompDirectiveNoFileComp
}

// sortedNames returns the names of the elements, sorted and without
// duplicates.
func sortedNames[T any](elements []T, nameOf func(T) string) []string {
	names := make([]string, 0, len(elements))
	for _, element := range elements {
		names = append(names, nameOf(element))
	}
	slices.Sort(names)
	return slices.Compact(names)
}
