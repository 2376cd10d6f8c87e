package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// cancelBatchSize limits the jobs that one log entry cancels, which bounds the size of
// the entry and how long the record is locked to apply it.
const cancelBatchSize = 500

// cancel cancels a job and returns its state. A job that is already final is left as it
// is. One that is not known is withdrawn before that is answered: its submission may have
// been sent before the cancel and be held up on its way, and must not be accepted any more.
func (l *leader) cancel(ctx context.Context, request protocol.CancelRequest) (protocol.JobAnswer, error) {
	status, err := l.status(request.ID, true)
	if err != nil && !errors.Is(err, errUnknownJob) {
		return l.jobAnswer(status, err)
	}
	if err == nil && status.State.Final() {
		return l.jobAnswer(l.status(request.ID, request.Brief))
	}
	command := record.Command{CancelJobs: &record.CancelJobs{Jobs: []string{request.ID}, Withdraw: true}}
	if _, err := l.propose(ctx, command); err != nil {
		return protocol.JobAnswer{}, l.proposalError(err)
	}
	return l.jobAnswer(l.status(request.ID, request.Brief))
}

// cancelMany cancels jobs in batches of at most cancelBatchSize. If a batch fails, the
// earlier ones remain cancelled, and the same call again cancels the rest.
func (l *leader) cancelMany(ctx context.Context, request protocol.CancelManyRequest) (protocol.CancelManyAnswer, error) {
	jobs := l.cancellable(request.Cancel)
	unknown := l.unknownJobs(request.Cancel.Jobs)
	for batch := range slices.Chunk(slices.Concat(jobs, unknown), cancelBatchSize) {
		command := record.Command{CancelJobs: &record.CancelJobs{Jobs: batch, Withdraw: true}}
		if _, err := l.propose(ctx, command); err != nil {
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
			if job.Spec.Queue == request.Queue && job.MayCancel() && submittedUntil(job, request.SubmittedUntil) {
				jobs = append(jobs, job.ID)
			}
		}
	})
	return jobs
}

// unknownJobs returns the ids that no job is known to have. It reads the archive, so it
// locks the record for cancelBatchSize ids at a time.
func (l *leader) unknownJobs(ids []string) []string {
	var unknown []string
	for batch := range slices.Chunk(ids, cancelBatchSize) {
		l.log.Record().Read(func(view record.View) {
			for _, id := range batch {
				if !isKnown(view, id) {
					unknown = append(unknown, id)
				}
			}
		})
	}
	return unknown
}

// submittedUntil reports whether a job was accepted at the given time or before; true if no
// time is given.
func submittedUntil(job *record.Job, until *time.Time) bool {
	return until == nil || !job.SubmittedAt.Time().After(*until)
}
