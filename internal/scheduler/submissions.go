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

// maxSubmitting bounds the submissions that are being committed at once, shared by
// the queues: the log takes some more commands than that, so that the ends of runs
// always find a place beside a flood of jobs.
const maxSubmitting = 1024

// submissions are those being committed.
type submissions struct {
	// byJob counts them by job: the same may come several times.
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

// free is how many more submissions of a queue may be committed at once.
func (s *submissions) free(config *api.Config, name string) int {
	parts := make([]admission.Participant, 0, len(config.Queues))
	own := 0
	for index := range config.Queues {
		queue := &config.Queues[index]
		if queue.Name == name {
			own = index
		}
		parts = append(parts, quotaPart(queue, s.byQueue[queue.Name]))
	}
	if len(parts) == 0 {
		return 0
	}
	return admission.Free(maxSubmitting, own, parts)
}

// beginSubmit counts a submission in that is to be committed; end counts it out.
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

// submitError is proposalError for a job. One that surely was not taken, since the
// log has more to do than it can, is refused at once: to try again from the front
// would only add to that. One that was withdrawn when its caller's time was over is
// not: this leader may have been cut off, and another one may take the job.
func (l *leader) submitError(err error) error {
	revoked := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if !errors.Is(err, replica.ErrOverloaded) || revoked {
		return l.proposalError(err)
	}
	return &api.Error{
		Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable,
		Message: "more changes wait to be committed than may; nothing was done", RetryAfterMillis: slo.MinRetryAfter.Milliseconds(),
	}
}
