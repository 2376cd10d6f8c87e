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

// Default and maximum number of jobs on a page of GET /v1/jobs.
const (
	defaultPageJobs = 100
	maxPageJobs     = 1000
)

// submitJob serves PUT /v1/jobs/{id}. It answers 201 for a new job, and 200 if the same job
// was submitted before.
func (f *Front) submitJob(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	id := jobIDOf(request)
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

// Submit submits a job, and returns in Created whether it is new. It is idempotent.
func (f *Front) Submit(ctx context.Context, id string, spec api.JobSpec) (api.SubmitAnswer, *api.Error) {
	if fields := f.invalidFields(id, &spec); len(fields) > 0 {
		return api.SubmitAnswer{}, httpjson.Invalid("job", fields)
	}
	releaseSlot, refusal := f.admitSubmission(spec.Queue)
	if refusal != nil {
		return api.SubmitAnswer{}, refusal
	}
	defer releaseSlot()
	answer, refusal := relayMutation[protocol.SubmitAnswer](ctx, f, protocol.MethodSubmit, protocol.SubmitRequest{ID: id, Spec: spec})
	if refusal != nil && refusal.Status < http.StatusInternalServerError {
		f.limits.returnToken()
	}
	return api.SubmitAnswer{ID: id, Created: answer.Created}, refusal
}

// admitSubmission takes a slot and a token for a submission to the queue, or returns an error
// if the limits of this front do not allow it. The caller must call releaseSlot at the end of
// the submission.
func (f *Front) admitSubmission(queue string) (releaseSlot func(), refusal *api.Error) {
	weights := queueWeights(f.link.Config())
	if _, known := weights[queue]; !known {
		queue = ""
	}
	if refusal := f.limits.acquireQueueSlot(f.settings.Load().MaxInflight, queue, weights); refusal != nil {
		f.metrics.countRejection(reasonQueueInFlight)
		return nil, refusal
	}
	if refusal := f.limits.takeToken(f.limitConfig().SubmitsPerSecond, queue, weights); refusal != nil {
		f.limits.releaseQueueSlot(queue)
		f.metrics.countRejection(reasonSubmitRate)
		return nil, refusal
	}
	return func() { f.limits.releaseQueueSlot(queue) }, nil
}

// invalidFields returns the errors that a job has under any configuration. If there are none,
// the job is not validated against the configuration in force here, since a newer
// configuration may have its queue. If there are any and the link is fresh, the result also
// has the errors under the configuration in force here.
func (f *Front) invalidFields(id string, spec *api.JobSpec) []api.FieldError {
	fields := api.ValidateJob(id, spec, nil)
	config := f.link.Config()
	if len(fields) == 0 || config == nil || !f.link.Fresh() {
		return fields
	}
	return api.ValidateJob(id, spec, config)
}

// getJob serves GET /v1/jobs/{id}; it is a long poll if the parameter "wait" is given.
func (f *Front) getJob(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	id := jobIDOf(request)
	wait, refusal := parseWait(request.URL.Query())
	if refusal != nil {
		return 0, nil, refusal
	}
	status, refusal := f.Job(request.Context(), id, wait)
	return http.StatusOK, status, refusal
}

// Job returns the status of a job once its state is final or wait is over.
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
	answer, refusal := relayRead[protocol.JobAnswer](ctx, f, protocol.MethodGetJob, protocol.GetJobRequest{ID: id, Brief: true})
	return answer.Status.State, refusal
}

// cancelJob serves POST /v1/jobs/{id}/cancel.
func (f *Front) cancelJob(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	status, refusal := f.Cancel(request.Context(), jobIDOf(request))
	return http.StatusOK, status, refusal
}

// Cancel cancels a job and returns its status. It is idempotent.
func (f *Front) Cancel(ctx context.Context, id string) (api.JobStatus, *api.Error) {
	return f.cancel(ctx, protocol.CancelRequest{ID: id})
}

// CancelBrief is like Cancel, but returns the status without the steps.
func (f *Front) CancelBrief(ctx context.Context, id string) (api.JobStatus, *api.Error) {
	return f.cancel(ctx, protocol.CancelRequest{ID: id, Brief: true})
}

func (f *Front) cancel(ctx context.Context, request protocol.CancelRequest) (api.JobStatus, *api.Error) {
	if !api.ValidJobID(request.ID) {
		return api.JobStatus{}, jobNotFound(request.ID)
	}
	answer, refusal := relayMutation[protocol.JobAnswer](ctx, f, protocol.MethodCancel, request)
	return answer.Status, refusal
}

// listJobs serves GET /v1/jobs.
func (f *Front) listJobs(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	query, refusal := parseListQuery(request.URL.Query())
	if refusal != nil {
		return 0, nil, refusal
	}
	list, refusal := f.Jobs(request.Context(), query)
	return http.StatusOK, list, refusal
}

// Jobs returns one page of the jobs that match the query.
func (f *Front) Jobs(ctx context.Context, query protocol.ListJobsRequest) (api.JobList, *api.Error) {
	answer, refusal := relayRead[protocol.ListJobsAnswer](ctx, f, protocol.MethodListJobs, query)
	answer.List.Jobs = nonNilSlice(answer.List.Jobs)
	return answer.List, refusal
}

// parseListQuery parses the parameters of GET /v1/jobs.
func parseListQuery(values url.Values) (protocol.ListJobsRequest, *api.Error) {
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

// parseWait parses the parameter "wait", and limits it to api.MaxWait. Default: 0.
func parseWait(values url.Values) (time.Duration, *api.Error) {
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

// jobIDOf returns the job id in the path.
func jobIDOf(request *http.Request) string { return pathValue(request, "id") }

// pathValue returns the unescaped value of a path parameter.
func pathValue(request *http.Request, name string) string {
	value := chi.URLParam(request, name)
	if plain, err := url.PathUnescape(value); err == nil && request.URL.RawPath != "" {
		return plain
	}
	return value
}

// jobNotFound returns the error for an id that no job has.
func jobNotFound(id string) *api.Error {
	return httpjson.NotFound(fmt.Sprintf("there is no job %q", id))
}
