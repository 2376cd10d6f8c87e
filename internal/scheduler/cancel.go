package scheduler

import (
	"context"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// cancelBatchSize limits the jobs that one log entry cancels, which bounds the size of
// the entry and how long the record is locked to apply it.
const cancelBatchSize = 500

// cancel cancels a job and returns its state. A job that is already final is left as it
// is.
func (l *leader) cancel(ctx context.Context, request protocol.CancelRequest) (protocol.JobAnswer, error) {
	status, err := l.status(request.ID, true)
	if err != nil {
		return l.jobAnswer(status, err)
	}
	if status.State.Final() {
		return l.jobAnswer(l.status(request.ID, request.Brief))
	}
	if _, err := l.propose(ctx, record.Command{CancelJobs: &record.CancelJobs{Jobs: []string{request.ID}}}); err != nil {
		return protocol.JobAnswer{}, l.proposalError(err)
	}
	return l.jobAnswer(l.status(request.ID, request.Brief))
}

// cancelMany cancels jobs in batches of at most cancelBatchSize. If a batch fails, the
// earlier ones remain cancelled, and the same call again cancels the rest.
func (l *leader) cancelMany(ctx context.Context, request protocol.CancelManyRequest) (protocol.CancelManyAnswer, error) {
	jobs := l.cancellable(request.Cancel)
	for batch := range slices.Chunk(jobs, cancelBatchSize) {
		if _, err := l.propose(ctx, record.Command{CancelJobs: &record.CancelJobs{Jobs: batch}}); err != nil {
			return protocol.CancelManyAnswer{}, l.proposalError(err)
		}
	}
	if !l.log.HoldsLease(l.token) {
		return protocol.CancelManyAnswer{}, l.notLeader()
	}
	return protocol.CancelManyAnswer{Answer: api.CancelAnswer{Cancelled: len(jobs)}}, nil
}

// cancellable returns the live jobs selected by the request that a cancel would change
// (see record.Job.MayCancel).
func (l *leader) cancellable(request api.CancelRequest) []string {
	var jobs []string
	l.log.Record().Read(func(view record.View) {
		for _, id := range request.Jobs {
			if job, live := view.Job(id); live && job.MayCancel() {
				jobs = append(jobs, id)
			}
		}
		if request.Queue == "" {
			return
		}
		for job := range view.Jobs("") {
			if job.Spec.Queue == request.Queue && job.MayCancel() {
				jobs = append(jobs, job.ID)
			}
		}
	})
	return jobs
}
