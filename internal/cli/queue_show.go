package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/decklever/decklever/api"
)

// maxShownJobs is the limit of --jobs, since each job shown takes one request.
const maxShownJobs = 100

// queueDetails is the result of "queue show". It is combined from several
// requests that are sent concurrently, so it is not a snapshot of one
// instant.
type queueDetails struct {
	// Config is nil if the configuration in force does not have the queue.
	Config   *api.QueueConfig    `json:"config,omitempty"`
	Status   api.QueueStatus     `json:"status"`
	Bookings []api.BookingStatus `json:"bookings"`
	Waiting  []waitingJob        `json:"waiting"`
}

// queueShowCommand returns the command that shows one queue.
func (a *app) queueShowCommand() *cobra.Command {
	var jobs, hours int
	command := &cobra.Command{
		Use:   "show NAME",
		Short: "Show a queue, its bookings, and why its oldest jobs wait",
		Long: "Show a queue: its configuration and what is in it, the windows of its bookings,\n" +
			"and why its oldest pending jobs wait. Tasks that run are shown as running/bound if\n" +
			"the queue has a bound, and so are those that wait.",
		Example:           "  decklever queue show swaps\n  decklever queue show swaps --jobs 20 -o json",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: a.completeQueueArgument,
	}
	command.Flags().IntVar(&jobs, "jobs", 5, fmt.Sprintf("most waiting jobs to show, up to %d", maxShownJobs))
	bindHours(command, &hours, defaultBookingHours)
	command.RunE = a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
		if jobs < 0 || jobs > maxShownJobs {
			return usageError("--jobs is %d, expected 0 to %d", jobs, maxShownJobs)
		}
		if err := checkHours(hours); err != nil {
			return err
		}
		details, err := a.readQueue(ctx, client, arguments[0], hours)
		if err != nil {
			return err
		}
		if details.Waiting, err = a.oldestWaitingJobs(ctx, client, arguments[0], jobs); err != nil {
			return err
		}
		return a.print(details, func(writer io.Writer) { a.renderQueue(writer, details) })
	})
	return command
}

// readQueue reads the configuration, status and bookings of a queue; it leaves
// Waiting empty.
func (a *app) readQueue(ctx context.Context, client *api.Client, name string, hours int) (queueDetails, error) {
	var config api.ConfigStatus
	var queues api.QueueList
	var bookings api.BookingList
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		config, err = a.readConfig(ctx, client)
		return err
	})
	group.Go(func() (err error) {
		queues, err = doRequest(ctx, a, "list queues", client.Queues)
		return err
	})
	group.Go(func() (err error) {
		bookings, err = a.readBookings(ctx, client, hours)
		return err
	})
	if err := group.Wait(); err != nil {
		return queueDetails{}, err
	}
	// WithDefaults fills in omitted fields with the values that take effect.
	return selectQueue(name, config.Config.WithDefaults(), queues, bookings)
}

// selectQueue combines the configuration, status and bookings of one queue. It
// returns an error if the queue is neither in the configuration nor in the
// leader's list.
func selectQueue(name string, config api.Config, queues api.QueueList, bookings api.BookingList) (queueDetails, error) {
	details := queueDetails{Status: api.QueueStatus{Name: name}}
	details.Bookings = filterWindows(bookings, func(window api.BookingStatus) bool { return window.Queue == name })
	configIndex := slices.IndexFunc(config.Queues, func(queue api.QueueConfig) bool { return queue.Name == name })
	statusIndex := slices.IndexFunc(queues.Queues, func(queue api.QueueStatus) bool { return queue.Name == name })
	if configIndex < 0 && statusIndex < 0 {
		return details, notFoundError("queue", name)
	}
	if configIndex >= 0 {
		details.Config = &config.Queues[configIndex]
	}
	if statusIndex >= 0 {
		details.Status = queues.Queues[statusIndex]
	}
	return details, nil
}

// renderQueue writes the tables of one queue.
func (a *app) renderQueue(writer io.Writer, details queueDetails) {
	config := api.QueueConfig{}
	if details.Config != nil {
		config = *details.Config
	}
	queue := newTextTable("queue", "team", "priority", "weight", "default allowed failures", "jobs", "pending tasks", "running tasks")
	queue.add(details.Status.Name, config.Team, config.Priority, config.Weight, config.DefaultAllowedFailures, details.Status.Jobs,
		formatCount(details.Status.Pending, config.MaxPendingTasks), formatCount(details.Status.Running, config.MaxRunningTasks))
	queue.render(writer)
	renderExpectedWait(writer, details.Status)
	if details.Config == nil {
		_, _ = fmt.Fprintln(writer, "\nthe configuration in force does not have this queue")
	}
	if len(details.Bookings) > 0 {
		_, _ = fmt.Fprintln(writer)
		a.bookingTable(details.Bookings).render(writer)
	}
	if len(details.Waiting) > 0 {
		_, _ = fmt.Fprintln(writer)
		a.waitingTable(details.Waiting).render(writer)
	}
}

// renderExpectedWait writes the expected wait of a new task, and whether the queue
// is overloaded. It writes nothing if the expected wait is not known.
func renderExpectedWait(writer io.Writer, status api.QueueStatus) {
	if status.ExpectedWaitMillis <= 0 {
		return
	}
	wait := time.Duration(status.ExpectedWaitMillis) * time.Millisecond
	_, _ = fmt.Fprintf(writer, "\na task that comes now waits %v for its start\n", wait.Round(100*time.Millisecond))
	if status.Overloaded {
		_, _ = fmt.Fprintln(writer, "the queue is overloaded: that is longer than its objective leaves")
	}
}
