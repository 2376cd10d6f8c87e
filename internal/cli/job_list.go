package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// maxPageJobs is the largest number of jobs that a front returns in one page.
const maxPageJobs = 1000

// jobStates are the values that --state accepts.
var jobStates = []string{
	string(api.StatePending), string(api.StateRunning), string(api.StateSucceeded),
	string(api.StateFailed), string(api.StateCancelled),
}

// jobListCommand returns the command that lists jobs.
func (a *app) jobListCommand() *cobra.Command {
	var query api.JobsQuery
	var all bool
	command := &cobra.Command{
		Use:               "list",
		Short:             "List jobs, a page at a time",
		Example:           "  decklever job list --queue swaps --state running\n  decklever job list --all -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
	}
	flags := command.Flags()
	flags.StringVar(&query.Queue, "queue", "", "only jobs of this queue")
	flags.StringVar((*string)(&query.State), "state", "", "only jobs in this state: pending, running, succeeded, failed or cancelled")
	flags.IntVar(&query.Limit, "limit", 100, "most jobs of one page, up to 1000")
	flags.StringVar(&query.PageToken, "page-token", "", "where the page before ended")
	flags.BoolVar(&all, "all", false, "read all pages from there on")
	mustRegisterCompletion(command, "queue", a.completeQueues)
	mustRegisterCompletion(command, "state", cobra.FixedCompletions(jobStates, cobra.ShellCompDirectiveNoFileComp))
	command.RunE = a.run(func(ctx context.Context, client *api.Client, _ []string) error {
		if query.Limit < 1 || query.Limit > maxPageJobs {
			return usageError("--limit is %d, expected 1 to %d", query.Limit, maxPageJobs)
		}
		list, err := a.listJobs(ctx, client, query, all)
		if err != nil {
			return err
		}
		return a.printJobs(list)
	})
	return command
}

// listJobs reads one page or, if all is set, that page and all following ones
// as one list.
func (a *app) listJobs(ctx context.Context, client *api.Client, query api.JobsQuery, all bool) (api.JobList, error) {
	list := api.JobList{Jobs: []api.JobSummary{}}
	for {
		page, err := doRequest(ctx, a, "list jobs", func(ctx context.Context) (api.JobList, error) {
			return client.Jobs(ctx, query)
		})
		if err != nil {
			return list, err
		}
		list.Jobs = append(list.Jobs, page.Jobs...)
		list.NextPageToken = page.NextPageToken
		if !all || page.NextPageToken == "" {
			return list, nil
		}
		query.PageToken = page.NextPageToken
	}
}

// printJobs prints a list of jobs. Below a table it prints a notice if there are
// more pages.
func (a *app) printJobs(list api.JobList) error {
	if list.NextPageToken != "" && a.flags.output == outputFormatTable {
		defer a.printNotice(fmt.Sprintf("there are more; go on with --page-token %s, or use --all", list.NextPageToken))
	}
	return a.print(list, func(writer io.Writer) {
		jobs := newTextTable("id", "queue", "state", "tasks ended", "submitted")
		for _, job := range list.Jobs {
			jobs.add(job.ID, job.Queue, job.State, fmt.Sprintf("%d/%d", job.TasksEnded, job.TasksTotal), a.formatTime(job.SubmittedAt))
		}
		jobs.render(writer)
	})
}
