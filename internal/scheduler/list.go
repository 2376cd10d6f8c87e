package scheduler

import (
	"context"
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

const (
	defaultListLimit = 100
	maxListLimit     = 1000
	// archiveBatchSize is how many archived jobs one read returns for a list.
	archiveBatchSize = 256
)

// listJobs returns a page of live and archived jobs, ordered by id. The page token is the
// last id of the previous page.
func (l *leader) listJobs(_ context.Context, request protocol.ListJobsRequest) (protocol.ListJobsAnswer, error) {
	limit := request.Limit
	if limit <= 0 {
		limit = defaultListLimit
	}
	limit = min(limit, maxListLimit)
	live := l.listLive(request, limit+1)
	archived, err := l.listArchived(request, limit+1)
	if err != nil {
		return protocol.ListJobsAnswer{}, err
	}
	if !l.log.HoldsLease(l.token) {
		return protocol.ListJobsAnswer{}, l.notLeader()
	}
	rows := mergeByID(live, archived)
	list := api.JobList{Jobs: rows}
	if len(rows) > limit {
		list.Jobs = rows[:limit]
		list.NextPageToken = rows[limit-1].ID
	}
	return protocol.ListJobsAnswer{List: list}, nil
}

// listLive returns up to limit live jobs after the page token that match the request.
func (l *leader) listLive(request protocol.ListJobsRequest, limit int) []api.JobSummary {
	rows := []api.JobSummary{}
	l.log.Record().Read(func(view record.View) {
		for job := range view.Jobs(request.PageToken) {
			if len(rows) == limit {
				return
			}
			if !matchesQueue(request, job.Spec.Queue) {
				continue
			}
			if row := job.Summary(); matchesState(request, row.State) {
				rows = append(rows, row)
			}
		}
	})
	return rows
}

func matchesQueue(request protocol.ListJobsRequest, queue string) bool {
	return request.Queue == "" || request.Queue == queue
}

func matchesState(request protocol.ListJobsRequest, state api.State) bool {
	return request.State == "" || request.State == state
}

// listArchived returns up to limit archived jobs after the page token that match the
// request.
func (l *leader) listArchived(request protocol.ListJobsRequest, limit int) ([]api.JobSummary, error) {
	rows := []api.JobSummary{}
	after := request.PageToken
	for {
		batch, err := l.archive.List(after, archiveBatchSize)
		if err != nil {
			return nil, fmt.Errorf("list archived jobs: %w", err)
		}
		for i := range batch {
			job := &batch[i]
			after = job.ID
			if matchesQueue(request, job.Queue) && matchesState(request, job.State) {
				rows = append(rows, job.Summary())
			}
			if len(rows) == limit {
				return rows, nil
			}
		}
		if len(batch) < archiveBatchSize {
			return rows, nil
		}
	}
}

// mergeByID merges two lists that are both ordered by id. A job that was archived between
// the two reads is in both; its archived row is kept.
func mergeByID(live, archived []api.JobSummary) []api.JobSummary {
	merged := make([]api.JobSummary, 0, len(live)+len(archived))
	for len(live) > 0 && len(archived) > 0 {
		switch {
		case live[0].ID < archived[0].ID:
			merged, live = append(merged, live[0]), live[1:]
		case live[0].ID > archived[0].ID:
			merged, archived = append(merged, archived[0]), archived[1:]
		default:
			merged, live, archived = append(merged, archived[0]), live[1:], archived[1:]
		}
	}
	merged = append(merged, live...)
	return append(merged, archived...)
}
