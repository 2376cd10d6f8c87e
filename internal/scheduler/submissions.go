package scheduler

import (
	"context"
	"errors"
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/scheduler/slo"
)

// maxSubmitting limits the submissions that are being committed at once, shared by the
// queues. It is below the log's limit on queued proposals, so that ends of runs can still
// be proposed during a flood of submissions.
const maxSubmitting = 1024

// submissions counts the submissions that are being committed. It is guarded by
// leader.mu.
type submissions struct {
	// byJob counts them by job id, more than one if a job was resent.
	byJob   map[string]int
	byQueue map[string]int
}

func newSubmissions() submissions {
	return submissions{byJob: make(map[string]int), byQueue: make(map[string]int)}
}

func (s *submissions) add(job, queue string, change int) {
	addTo(s.byJob, job, change)
	addTo(s.byQueue, queue, change)
}

func addTo(counts map[string]int, key string, change int) {
	counts[key] += change
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// free returns how many more submissions of a queue may be committed at once, 0 if no
// queue is configured. A queue that is not configured counts as the first one.
func (s *submissions) free(config *api.Config, name string) int {
	shares := make([]admission.Participant, 0, len(config.Queues))
	own := 0
	for index := range config.Queues {
		queue := &config.Queues[index]
		if queue.Name == name {
			own = index
		}
		shares = append(shares, queueShare(queue, s.byQueue[queue.Name]))
	}
	if len(shares) == 0 {
		return 0
	}
	return admission.Free(maxSubmitting, own, shares)
}

// beginSubmit counts a submission that is about to be committed, or refuses it. The
// caller calls end once the outcome is known.
func (l *leader) beginSubmit(request *protocol.SubmitRequest) (end func(), refusal error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, queue := request.ID, request.Spec.Queue
	if err := l.admission.beginSubmit(id, queue, l.settings.config); err != nil {
		return nil, err
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.admission.endSubmit(id, queue)
	}, nil
}

func (l *leader) isSubmitting(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.isSubmitting(id)
}

// submitError converts the error of a proposed submission for the caller. If the log is
// overloaded, the job certainly had no effect and is refused at once with a retry time,
// because a retry by the front would add to the load. A proposal withdrawn because its
// context ended gets proposalError instead, which lets the front retry: this leader may
// be partitioned, and another leader may accept the job.
func (l *leader) submitError(err error) error {
	contextEnded := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if !errors.Is(err, replica.ErrOverloaded) || contextEnded {
		return l.proposalError(err)
	}
	return &api.Error{
		Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable,
		Message: "more changes wait to be committed than may; nothing was done", RetryAfterMillis: slo.MinRetryAfter.Milliseconds(),
	}
}
