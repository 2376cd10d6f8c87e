package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// submit admits and commits a job. A job that is already known skips all checks, so that
// a resend gets the same answer even if the configuration or the load has changed
// meanwhile.
func (l *leader) submit(ctx context.Context, request protocol.SubmitRequest) (protocol.SubmitAnswer, error) {
	digest := request.Spec.Digest()
	if err := l.admit(request); err != nil {
		return protocol.SubmitAnswer{}, err
	}
	end, err := l.beginSubmit(&request)
	if err != nil {
		return protocol.SubmitAnswer{}, err
	}
	defer end()
	command := record.Command{SubmitJob: &record.SubmitJob{ID: request.ID, Spec: request.Spec, Digest: digest}}
	result, err := l.propose(ctx, command)
	if err != nil {
		return protocol.SubmitAnswer{}, l.submitError(err)
	}
	switch result.Submit.Outcome {
	case record.SubmitAccepted:
		return protocol.SubmitAnswer{Created: true}, nil
	case record.SubmitDuplicate:
		return protocol.SubmitAnswer{}, nil
	case record.SubmitConflict:
		return protocol.SubmitAnswer{}, jobConflict(request.ID, "is known with other content")
	case record.SubmitWithdrawn:
		l.metrics.lateRequests.WithLabelValues(string(protocol.MethodSubmit)).Inc()
		l.logger.Warn("refused a late submission", slog.String("job", request.ID))
		return protocol.SubmitAnswer{}, jobConflict(request.ID, "was cancelled before it was submitted")
	case record.SubmitNoService:
		return protocol.SubmitAnswer{}, invalidError("job", request.Spec.MissingServices())
	default:
		unknown := api.FieldError{Field: "queue", Value: request.Spec.Queue, Expected: "a queue of the configuration in force"}
		return protocol.SubmitAnswer{}, invalidError("job", []api.FieldError{unknown})
	}
}

// jobConflict returns the error for an id that cannot be used for the job, with the reason.
func jobConflict(id, reason string) *api.Error {
	return &api.Error{Status: http.StatusConflict, Code: api.CodeConflict, Message: "job " + id + " " + reason}
}

// checkFeasible refuses a job with a task that does not fit on any registered worker even
// when the worker is empty. While no worker is registered, all jobs pass. Consecutive
// tasks with the same demand are checked once.
func (l *leader) checkFeasible(spec *api.JobSpec) error {
	l.mu.Lock()
	workers := l.registry.registeredWorkers()
	l.mu.Unlock()
	if len(workers) == 0 {
		return nil
	}
	var fields []api.FieldError
	var previous *api.TaskSpec
	for s := range spec.Steps {
		for t := range spec.Steps[s].Tasks {
			task := &spec.Steps[s].Tasks[t]
			if previous != nil && sameDemand(previous, task) {
				continue
			}
			previous = task
			if possible, reason := l.planner.Feasible(task, workers); !possible {
				path := fmt.Sprintf("steps[%d].tasks[%d]", s, t)
				fields = append(fields, api.FieldError{Field: path, Value: task.Service, Expected: "a task that some worker could hold: " + reason})
			}
		}
	}
	if len(fields) == 0 {
		return nil
	}
	return &api.Error{Status: http.StatusUnprocessableEntity, Code: api.CodeImpossible, Message: "no known worker could ever run the job", Fields: fields}
}

// sameDemand reports whether two tasks can run on the same workers.
func sameDemand(a, b *api.TaskSpec) bool {
	sameSpread := (a.Spread == nil) == (b.Spread == nil) && (a.Spread == nil || a.Spread.By == b.Spread.By)
	return sameSpread && a.Service == b.Service && a.Resources == b.Resources && maps.Equal(a.Labels, b.Labels)
}
