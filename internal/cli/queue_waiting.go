package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// maxWaitingPages is the maximum number of pages read to find the oldest pending
// jobs. Pages are sorted by id, so the oldest job may be on any page.
const maxWaitingPages = 10

// waitingJob is a pending job with the reasons why its tasks wait.
type waitingJob struct {
	ID          string          `json:"id"`
	SubmittedAt time.Time       `json:"submitted_at"`
	Reasons     []waitingReason `json:"reasons"`
}

// waitingReason is a reason and the number of tasks that are pending for it.
type waitingReason struct {
	Reason string `json:"reason"`
	Tasks  int    `json:"tasks"`
}

// oldestWaitingJobs returns up to limit pending jobs, those submitted first, with
// the reasons why their tasks wait.
func (a *app) oldestWaitingJobs(ctx context.Context, client *api.Client, queue string, limit int) ([]waitingJob, error) {
	waiting := []waitingJob{}
	if limit == 0 {
		return waiting, nil
	}
	jobs, err := a.pendingJobs(ctx, client, queue)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(jobs, func(a, b api.JobSummary) int { return a.SubmittedAt.Compare(b.SubmittedAt) })
	for _, job := range jobs[:min(limit, len(jobs))] {
		status, err := a.readJob(ctx, client, job.ID, 0)
		if hasErrorCode(err, api.CodeNotFound) {
			continue // removed since it was listed
		}
		if err != nil {
			return nil, requestError("read job "+job.ID, err)
		}
		waiting = append(waiting, waitingJob{ID: job.ID, SubmittedAt: job.SubmittedAt, Reasons: waitingReasons(status)})
	}
	return waiting, nil
}

// pendingJobs returns the pending jobs of a queue from at most maxWaitingPages
// pages, and prints a notice if there are more.
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

// waitingReasons counts the pending tasks of a job by reason, in the order in
// which the reasons first occur.
func waitingReasons(status api.JobStatus) []waitingReason {
	reasons := []waitingReason{}
	for _, step := range status.Steps {
		for _, task := range step.Tasks {
			if task.State != api.StatePending {
				continue
			}
			index := slices.IndexFunc(reasons, func(existing waitingReason) bool { return existing.Reason == task.Reason })
			if index < 0 {
				index = len(reasons)
				reasons = append(reasons, waitingReason{Reason: task.Reason})
			}
			reasons[index].Tasks++
		}
	}
	return reasons
}

// waitingTable builds the table of waiting jobs.
func (a *app) waitingTable(jobs []waitingJob) *textTable {
	waiting := newTextTable("waiting job", "submitted", "reasons (tasks)")
	for _, job := range jobs {
		reasons := make([]string, len(job.Reasons))
		for index, reason := range job.Reasons {
			reasons[index] = fmt.Sprintf("%s (%d)", formatCell(reason.Reason), reason.Tasks)
		}
		waiting.add(job.ID, a.formatTime(job.SubmittedAt), strings.Join(reasons, "; "))
	}
	return waiting
}
