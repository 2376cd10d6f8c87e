package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// maxWaitingPages bounds the pages read to find the oldest pending jobs,
// since pages are sorted by id.
const maxWaitingPages = 10

// waitingJob is a pending job with the reasons why its tasks wait.
type waitingJob struct {
	ID          string          `json:"id"`
	SubmittedAt time.Time       `json:"submitted_at"`
	Reasons     []waitingReason `json:"reasons"`
}

// waitingReason is a reason and the number of tasks that wait for it.
type waitingReason struct {
	Reason string `json:"reason"`
	Tasks  int    `json:"tasks"`
}

// oldestWaiting returns the pending jobs that were submitted first, with the
// reasons why their tasks wait.
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
		status, err := a.readJob(ctx, client, job.ID, 0)
		if isCode(err, api.CodeNotFound) {
			continue // gone since it was listed
		}
		if err != nil {
			return nil, requestError("read job "+job.ID, err)
		}
		waiting = append(waiting, waitingJob{ID: job.ID, SubmittedAt: job.SubmittedAt, Reasons: waitingReasons(status)})
	}
	return waiting, nil
}

// pendingJobs returns the pending jobs of a queue, from at most
// maxWaitingPages pages.
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
	a.printNotice(fmt.Sprintf("more than %d jobs wait; the oldest of the first %d by id are shown", len(jobs), len(jobs)))
	return jobs, nil
}

// waitingReasons counts the reasons of pending tasks, in the order of the
// tasks.
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

// waitingTable builds the table of waiting jobs.
func (a *app) waitingTable(jobs []waitingJob) *textTable {
	waiting := newTextTable("waiting job", "submitted", "reasons (tasks)")
	for _, job := range jobs {
		reasons := make([]string, len(job.Reasons))
		for index, one := range job.Reasons {
			reasons[index] = fmt.Sprintf("%s (%d)", formatCell(one.Reason), one.Tasks)
		}
		waiting.add(job.ID, a.formatTime(job.SubmittedAt), strings.Join(reasons, "; "))
	}
	return waiting
}
