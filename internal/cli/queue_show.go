package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/decklever/decklever/api"
)

const (
	// maxWaitingPages bounds the pages that are read to find the oldest
	// waiting jobs, as lists are in the order of ids.
	maxWaitingPages = 10
	// maxShownJobs bounds --jobs: each job is read by itself.
	maxShownJobs = 100
)

// queueDetails is the result of "queue show": the answers of several calls,
// made at nearly the same time but not at one instant.
type queueDetails struct {
	// Config is absent for a queue that the configuration no longer has.
	Config   *api.QueueConfig    `json:"config,omitempty"`
	Status   api.QueueStatus     `json:"status"`
	Bookings []api.BookingStatus `json:"bookings"`
	Waiting  []waitingJob        `json:"waiting"`
}

// waitingJob is a pending job with the reasons of its tasks.
type waitingJob struct {
	ID          string          `json:"id"`
	SubmittedAt time.Time       `json:"submitted_at"`
	Reasons     []waitingReason `json:"reasons"`
}

// waitingReason is why a number of a job's tasks wait.
type waitingReason struct {
	Reason string `json:"reason"`
	Tasks  int    `json:"tasks"`
}

// queueShowCommand shows one queue.
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
		if details.Waiting, err = a.oldestWaiting(ctx, client, arguments[0], jobs); err != nil {
			return err
		}
		return a.print(details, func(writer io.Writer) { a.renderQueue(writer, details) })
	})
	return command
}

// readQueue reads what is known of a queue, besides its jobs.
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
		queues, err = read(ctx, a, "list queues", client.Queues)
		return err
	})
	group.Go(func() (err error) {
		bookings, err = a.readBookings(ctx, client, hours)
		return err
	})
	if err := group.Wait(); err != nil {
		return queueDetails{}, err
	}
	// What counts is what is in force, defaults included.
	return selectQueue(name, config.Config.WithDefaults(), queues, bookings)
}

// selectQueue takes what concerns one queue; none is known if neither the
// configuration nor the leader has it.
func selectQueue(name string, config api.Config, queues api.QueueList, bookings api.BookingList) (queueDetails, error) {
	details := queueDetails{Status: api.QueueStatus{Name: name}}
	details.Bookings = windowsOf(bookings, func(window api.BookingStatus) bool { return window.Queue == name })
	configAt := slices.IndexFunc(config.Queues, func(queue api.QueueConfig) bool { return queue.Name == name })
	statusAt := slices.IndexFunc(queues.Queues, func(queue api.QueueStatus) bool { return queue.Name == name })
	if configAt < 0 && statusAt < 0 {
		return details, notThere("queue", name)
	}
	if configAt >= 0 {
		details.Config = &config.Queues[configAt]
	}
	if statusAt >= 0 {
		details.Status = queues.Queues[statusAt]
	}
	return details, nil
}

// oldestWaiting finds the pending jobs that were handed in first and reads
// why their tasks wait.
func (a *app) oldestWaiting(ctx context.Context, client *api.Client, queue string, most int) ([]waitingJob, error) {
	waiting := []waitingJob{}
	if most == 0 {
		return waiting, nil
	}
	jobs, err := a.pendingJobs(ctx, client, queue)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(jobs, func(a, b api.JobSummary) int { return a.SubmittedAt.Compare(b.SubmittedAt) })
	for _, job := range jobs[:min(most, len(jobs))] {
		status, err := a.heldRead(ctx, client, job.ID, 0)
		if isCode(err, api.CodeNotFound) {
			continue // gone since it was listed
		}
		if err != nil {
			return nil, callFailed("read job "+job.ID, err)
		}
		waiting = append(waiting, waitingJob{ID: job.ID, SubmittedAt: job.SubmittedAt, Reasons: waitingReasons(status)})
	}
	return waiting, nil
}

// pendingJobs reads the pending jobs of a queue, as far as it is bounded.
func (a *app) pendingJobs(ctx context.Context, client *api.Client, queue string) ([]api.JobSummary, error) {
	query := api.JobsQuery{Queue: queue, State: api.StatePending, Limit: maxPageJobs}
	var jobs []api.JobSummary
	for range maxWaitingPages {
		page, err := a.listJobs(ctx, client, query, false)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, page.Jobs...)
		if page.NextPageToken == "" {
			return jobs, nil
		}
		query.PageToken = page.NextPageToken
	}
	a.note(fmt.Sprintf("more than %d jobs wait; the oldest of the first %d by id are shown", len(jobs), len(jobs)))
	return jobs, nil
}

// waitingReasons counts the reasons of pending tasks, in the order of tasks.
func waitingReasons(status api.JobStatus) []waitingReason {
	reasons := []waitingReason{}
	for _, step := range status.Steps {
		for _, task := range step.Tasks {
			if task.State != api.StatePending {
				continue
			}
			at := slices.IndexFunc(reasons, func(one waitingReason) bool { return one.Reason == task.Reason })
			if at < 0 {
				at = len(reasons)
				reasons = append(reasons, waitingReason{Reason: task.Reason})
			}
			reasons[at].Tasks++
		}
	}
	return reasons
}

// renderQueue writes the tables of one queue.
func (a *app) renderQueue(writer io.Writer, details queueDetails) {
	config := api.QueueConfig{}
	if details.Config != nil {
		config = *details.Config
	}
	queue := newGrid("queue", "team", "priority", "weight", "default allowed failures", "jobs", "pending tasks", "running tasks")
	queue.add(details.Status.Name, config.Team, config.Priority, config.Weight, config.DefaultAllowedFailures, details.Status.Jobs,
		bounded(details.Status.Pending, config.MaxPendingTasks), bounded(details.Status.Running, config.MaxRunningTasks))
	queue.render(writer)
	renderExpectedWait(writer, details.Status)
	if details.Config == nil {
		_, _ = fmt.Fprintln(writer, "\nthe configuration in force does not have this queue")
	}
	if len(details.Bookings) > 0 {
		_, _ = fmt.Fprintln(writer)
		a.bookingGrid(details.Bookings).render(writer)
	}
	if len(details.Waiting) > 0 {
		_, _ = fmt.Fprintln(writer)
		a.waitingGrid(details.Waiting).render(writer)
	}
}

// renderExpectedWait says how long newcomers wait, if that is known.
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

// waitingGrid is the table of waiting jobs.
func (a *app) waitingGrid(jobs []waitingJob) *grid {
	waiting := newGrid("waiting job", "submitted", "reasons (tasks)")
	for _, job := range jobs {
		reasons := make([]string, len(job.Reasons))
		for index, one := range job.Reasons {
			reasons[index] = fmt.Sprintf("%s (%d)", cell(one.Reason), one.Tasks)
		}
		waiting.add(job.ID, a.clock(job.SubmittedAt), strings.Join(reasons, "; "))
	}
	return waiting
}

// bounded is a count with its bound, if it has one.
func bounded(count, bound int) string {
	if bound == 0 {
		return fmt.Sprint(count)
	}
	return fmt.Sprintf("%d/%d", count, bound)
}
