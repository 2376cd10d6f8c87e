package scheduler

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// getJob returns the state of a job. With a wait it answers once the job is final, the
// wait has passed, or the call or the term ends.
func (l *leader) getJob(ctx context.Context, request protocol.GetJobRequest) (protocol.JobAnswer, error) {
	status, err := l.status(request.ID, request.Brief)
	if err != nil || status.State.Final() || request.WaitMillis <= 0 {
		return l.jobAnswer(status, err)
	}
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-l.jobEndedChannel(request.ID):
	case <-timer.C:
	case <-ctx.Done():
	case <-l.context.Done():
	}
	return l.jobAnswer(l.status(request.ID, request.Brief))
}

// jobAnswer returns a state that was read from the record, or notLeader unless the lease
// is held, which ensures that no other leader has committed a newer state.
func (l *leader) jobAnswer(status api.JobStatus, err error) (protocol.JobAnswer, error) {
	if !l.log.HoldsLease(l.token) {
		return protocol.JobAnswer{}, l.notLeader()
	}
	if err != nil {
		return protocol.JobAnswer{}, err
	}
	return protocol.JobAnswer{Status: status}, nil
}

// status reads the state of a job; brief omits its steps.
func (l *leader) status(id string, brief bool) (api.JobStatus, error) {
	var status api.JobStatus
	var known bool
	var err error
	l.log.Record().Read(func(view record.View) {
		if brief {
			status, known, err = view.StatusWithoutSteps(id)
			return
		}
		status, known, err = view.Status(id, l.waitReason)
	})
	if err != nil {
		return status, fmt.Errorf("read job %s: %w", id, err)
	}
	if !known {
		return status, notFoundError("job", id)
	}
	return status, nil
}

// waitReason returns why a ready task waits, empty if it does not. The record calls it
// while holding its own lock, so the record's lock is taken before leader.mu here.
func (l *leader) waitReason(task *record.Task) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, waiting := l.pending.find(task.ID)
	switch {
	case !waiting:
		return ""
	case !entry.due:
		return "not before " + time.UnixMilli(int64(entry.notBefore)).UTC().Format(time.RFC3339)
	case entry.placing:
		return "being placed"
	default:
		return l.planner.Reason(task.ID)
	}
}
