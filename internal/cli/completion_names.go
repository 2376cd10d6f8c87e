package cli

import (
	"context"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const (
	// defaultCompletionTimeout bounds the call behind a press of the tab key.
	defaultCompletionTimeout = 500 * time.Millisecond
	// completedJobs bounds the ids that are offered.
	completedJobs = 200
	// completedHours is how far ahead bookings are offered.
	completedHours = api.MaxBookingHours
)

// completeFiles offers YAML and JSON files.
func completeFiles(_ *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return []string{"yaml", "yml", "json"}, cobra.ShellCompDirectiveFilterFileExt
}

// completeJobs offers ids of jobs, for this many arguments at most; 0 for any
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

// completeWorkers offers names of workers.
func (a *app) completeWorkers(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Workers(ctx)
		return sortedNames(list.Workers, func(worker api.WorkerStatus) string { return worker.Name }), err
	})
}

// completeZones offers the zones of workers.
func (a *app) completeZones(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Workers(ctx)
		return sortedNames(list.Workers, func(worker api.WorkerStatus) string { return worker.Zone }), err
	})
}

// completeDrains offers the zones that are drained by orders.
func (a *app) completeDrains(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, arguments, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Drains(ctx)
		return sortedNames(list.Zones, func(drain api.ZoneDrain) string { return drain.Zone }), err
	})
}

// completeQueues offers names of queues.
func (a *app) completeQueues(command *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	return a.suggest(command, nil, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Queues(ctx)
		return sortedNames(list.Queues, func(queue api.QueueStatus) string { return queue.Name }), err
	})
}

// completeQueueArgument offers names of queues for the one argument.
func (a *app) completeQueueArgument(command *cobra.Command, arguments []string, typed string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return a.completeQueues(command, arguments, typed)
}

// completeBookings offers bookings that have a window, as QUEUE/NAME.
func (a *app) completeBookings(command *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return a.suggest(command, nil, func(ctx context.Context, client *api.Client) ([]string, error) {
		list, err := client.Bookings(ctx, completedHours*time.Hour)
		return sortedNames(list.Bookings, func(window api.BookingStatus) string { return bookingNameOf(window).String() }), err
	})
}

// completeStarts offers the starts of the windows of the booking that was
// typed, in UTC.
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

// suggest asks the fleet for names and leaves out those already given. Without
// an answer it offers nothing: there is no place for an error in a completion.
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

// sortedNames collects names, sorted, each once.
func sortedNames[T any](list []T, nameOf func(T) string) []string {
	names := make([]string, 0, len(list))
	for _, one := range list {
		names = append(names, nameOf(one))
	}
	slices.Sort(names)
	return slices.Compact(names)
}
