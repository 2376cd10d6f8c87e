package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// CancelJobs cancels jobs by their ids, or all jobs of a queue, and returns how
// many it cancelled. If the answer is lost, the client retries, and the result
// does not include jobs that the first attempt cancelled.
func (c *Client) CancelJobs(ctx context.Context, request CancelRequest) (cancelled int, err error) {
	if request.Queue != "" && request.SubmittedUntil == nil {
		queues, err := c.Queues(ctx)
		if err != nil {
			return 0, err
		}
		request.SubmittedUntil = queues.AsOf
	}
	var answer CancelAnswer
	err = c.post(ctx, "/v1/cancellations", request, &answer)
	return answer.Cancelled, err
}

// SubmitAnswer is the answer of PUT /v1/jobs/{id}.
type SubmitAnswer struct {
	ID string `json:"id"`
	// Created is false if the same job was submitted earlier.
	Created bool `json:"created"`
}

// JobsQuery selects the jobs and the page of GET /v1/jobs. An empty Queue or
// State matches all jobs; an empty PageToken selects the first page.
type JobsQuery struct {
	Queue string
	State State
	// Limit is the maximum number of jobs on the page. Default 100.
	Limit     int
	PageToken string
}

// SubmitJob submits a job under an id chosen by the caller and reports whether
// the job is new. It is not an error to submit the same content again; different
// content under the same id fails with CodeConflict.
func (c *Client) SubmitJob(ctx context.Context, id string, spec JobSpec) (created bool, err error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return false, malformed(fmt.Sprintf("the job has no JSON form: %v", err))
	}
	var answer SubmitAnswer
	err = c.do(ctx, clientRequest{method: http.MethodPut, path: jobPath(id), body: body, mutates: true}, &answer)
	return answer.Created, err
}

// Job returns the status of a job. If wait is positive, the front delays the
// answer until the job is final or the wait, at most MaxWait, is over.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (JobStatus, error) {
	end := time.Now().Add(min(wait, MaxWait))
	call := clientRequest{method: http.MethodGet, path: jobPath(id)}
	if wait > 0 {
		call.prepare = func(call *clientRequest) {
			call.answerWait = max(0, time.Until(end)).Round(time.Millisecond)
			call.path = jobPath(id) + "?wait=" + call.answerWait.String()
		}
	}
	var answer JobStatus
	err := c.do(ctx, call, &answer)
	return answer, err
}

// Jobs returns one page of the list of jobs.
func (c *Client) Jobs(ctx context.Context, query JobsQuery) (JobList, error) {
	values := url.Values{}
	setValue(values, "queue", query.Queue)
	setValue(values, "state", string(query.State))
	setValue(values, "page_token", query.PageToken)
	if query.Limit > 0 {
		values.Set("limit", strconv.Itoa(query.Limit))
	}
	var answer JobList
	err := c.get(ctx, "/v1/jobs?"+values.Encode(), &answer)
	return answer, err
}

// CancelJob cancels a job and returns its resulting status. A job that is final
// is not changed.
func (c *Client) CancelJob(ctx context.Context, id string) (JobStatus, error) {
	var answer JobStatus
	err := c.do(ctx, clientRequest{method: http.MethodPost, path: jobPath(id) + "/cancel", mutates: true}, &answer)
	return answer, err
}

// jobPath returns the path of a job.
func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// setValue sets a query parameter unless the value is empty.
func setValue(values url.Values, name, value string) {
	if value != "" {
		values.Set(name, value)
	}
}
