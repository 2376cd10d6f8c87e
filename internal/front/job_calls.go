package front

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
)

// Bounds of a page of GET /v1/jobs.
const (
	defaultPageJobs = 100
	maxPageJobs     = 1000
)

// submitJob serves PUT /v1/jobs/{id}: 201 for a new job, 200 for the same
// again.
func (f *Front) submitJob(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	id := jobID(request)
	spec, refusal := readBody[api.JobSpec](writer, request, f.limitConfig().MaxJobBytes)
	if refusal != nil {
		return 0, nil, refusal
	}
	answer, refusal := f.Submit(request.Context(), id, spec)
	status := http.StatusOK
	if answer.Created {
		status = http.StatusCreated
	}
	return status, answer, refusal
}

// Submit submits a job and says whether it is new. It is idempotent.
func (f *Front) Submit(ctx context.Context, id string, spec api.JobSpec) (api.SubmitAnswer, *api.Error) {
	if fields := f.wrongFields(id, &spec); len(fields) > 0 {
		return api.SubmitAnswer{}, httpjson.Invalid("job", fields)
	}
	leave, refusal := f.admit(spec.Queue)
	if refusal != nil {
		return api.SubmitAnswer{}, refusal
	}
	defer leave()
	answer, refusal := change[protocol.SubmitAnswer](ctx, f, protocol.MethodSubmit, protocol.SubmitRequest{ID: id, Spec: spec})
	if refusal != nil && refusal.Status < http.StatusInternalServerError {
		f.limits.returnToken()
	}
	return api.SubmitAnswer{ID: id, Created: answer.Created}, refusal
}

// admit admits a submission if this front's limits have a slot and a token for its queue.
// leave gives the slot back and must be called.
func (f *Front) admit(queue string) (leave func(), refusal *api.Error) {
	weights := queueWeights(f.link.Config())
	if _, known := weights[queue]; !known {
		queue = ""
	}
	if refusal := f.limits.enterQueue(f.settings.Load().MaxInflight, queue, weights); refusal != nil {
		f.metrics.countRejection(reasonQueueInFlight)
		return nil, refusal
	}
	if refusal := f.limits.takeToken(f.limitConfig().SubmitsPerSecond, queue, weights); refusal != nil {
		f.limits.leaveQueue(queue)
		f.metrics.countRejection(reasonSubmitRate)
		return nil, refusal
	}
	return func() { f.limits.leaveQueue(queue) }, nil
}

// wrongFields returns the errors that a job has under any configuration: one that is newer
// than the one known here may have its queue. Only if there are any does it add the errors
// under the configuration known here.
func (f *Front) wrongFields(id string, spec *api.JobSpec) []api.FieldError {
	fields := api.ValidateJob(id, spec, nil)
	config := f.link.Config()
	if len(fields) == 0 || config == nil || !f.link.Fresh() {
		return fields
	}
	return api.ValidateJob(id, spec, config)
}

// getJob serves GET /v1/jobs/{id}, as a long poll with the parameter "wait".
func (f *Front) getJob(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	id := jobID(request)
	wait, refusal := waitOf(request.URL.Query())
	if refusal != nil {
		return 0, nil, refusal
	}
	status, refusal := f.Job(request.Context(), id, wait)
	return http.StatusOK, status, refusal
}

// Job returns the status of a job, once the job is final or wait is over.
func (f *Front) Job(ctx context.Context, id string, wait time.Duration) (api.JobStatus, *api.Error) {
	if !api.ValidJobID(id) {
		return api.JobStatus{}, jobNotFound(id)
	}
	return f.waitForJob(ctx, id, wait)
}

// JobState returns the state of a job.
func (f *Front) JobState(ctx context.Context, id string) (api.State, *api.Error) {
	if !api.ValidJobID(id) {
		return "", jobNotFound(id)
	}
	answer, refusal := read[protocol.JobAnswer](ctx, f, protocol.MethodGetJob, protocol.GetJobRequest{ID: id, Brief: true})
	return answer.Status.State, refusal
}

// cancelJob serves POST /v1/jobs/{id}/cancel.
func (f *Front) cancelJob(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	status, refusal := f.Cancel(request.Context(), jobID(request))
	return http.StatusOK, status, refusal
}

// Cancel cancels a job and returns its status. It is idempotent.
func (f *Front) Cancel(ctx context.Context, id string) (api.JobStatus, *api.Error) {
	return f.cancel(ctx, protocol.CancelRequest{ID: id})
}

// CancelBrief is Cancel without the steps in the answer.
func (f *Front) CancelBrief(ctx context.Context, id string) (api.JobStatus, *api.Error) {
	return f.cancel(ctx, protocol.CancelRequest{ID: id, Brief: true})
}

func (f *Front) cancel(ctx context.Context, request protocol.CancelRequest) (api.JobStatus, *api.Error) {
	if !api.ValidJobID(request.ID) {
		return api.JobStatus{}, jobNotFound(request.ID)
	}
	answer, refusal := change[protocol.JobAnswer](ctx, f, protocol.MethodCancel, request)
	return answer.Status, refusal
}

// listJobs serves GET /v1/jobs.
func (f *Front) listJobs(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	query, refusal := listQuery(request.URL.Query())
	if refusal != nil {
		return 0, nil, refusal
	}
	list, refusal := f.Jobs(request.Context(), query)
	return http.StatusOK, list, refusal
}

// Jobs returns a page of jobs.
func (f *Front) Jobs(ctx context.Context, query protocol.ListJobsRequest) (api.JobList, *api.Error) {
	answer, refusal := read[protocol.ListJobsAnswer](ctx, f, protocol.MethodListJobs, query)
	answer.List.Jobs = nonNilSlice(answer.List.Jobs)
	return answer.List, refusal
}

// listQuery parses the parameters of a list.
func listQuery(values url.Values) (protocol.ListJobsRequest, *api.Error) {
	query := protocol.ListJobsRequest{
		Queue:     values.Get("queue"),
		State:     api.State(values.Get("state")),
		Limit:     defaultPageJobs,
		PageToken: values.Get("page_token"),
	}
	switch query.State {
	case "", api.StatePending, api.StateRunning, api.StateSucceeded, api.StateFailed, api.StateCancelled:
	default:
		return query, malformedField("state", string(query.State), "pending, running, succeeded, failed or cancelled")
	}
	if text := values.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxPageJobs {
			return query, malformedField("limit", text, fmt.Sprintf("1 to %d", maxPageJobs))
		}
		query.Limit = limit
	}
	return query, nil
}

// waitOf parses the parameter "wait", and bounds it by api.MaxWait.
func waitOf(values url.Values) (time.Duration, *api.Error) {
	text := values.Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, malformedField("wait", text, fmt.Sprintf("a duration such as \"10s\", up to %v", api.MaxWait))
	}
	return min(wait, api.MaxWait), nil
}

// jobID is the id of a job in the path.
func jobID(request *http.Request) string { return pathValue(request, "id") }

// pathValue is a parameter in the path, where it may be escaped.
func pathValue(request *http.Request, name string) string {
	value := chi.URLParam(request, name)
	if plain, err := url.PathUnescape(value); err == nil && request.URL.RawPath != "" {
		return plain
	}
	return value
}

// jobNotFound is the error for an id that no job has.
func jobNotFound(id string) *api.Error {
	return httpjson.NotFound(fmt.Sprintf("there is no job %q", id))
}
