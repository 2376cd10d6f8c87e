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

// CancelJobs cancels many jobs in one call, by id or all of a queue, and
// returns how many it cancelled. After a lost answer the call is repeated;
// jobs that the lost call cancelled are not counted then.
func (c *Client) CancelJobs(ctx context.Context, request CancelRequest) (cancelled int, err error) {
	var answer CancelAnswer
	err = c.post(ctx, "/v1/cancellations", request, &answer)
	return answer.Cancelled, err
}

// SubmitAnswer is the answer of PUT /v1/jobs/{id}.
type SubmitAnswer struct {
	ID string `json:"id"`
	// Created is false if the same job had been submitted before.
	Created bool `json:"created"`
}

// JobsQuery selects jobs and a page of GET /v1/jobs; empty fields match all
// jobs.
type JobsQuery struct {
	Queue string
	State State
	// Limit is the maximum number of jobs of the page. Default 100.
	Limit     int
	PageToken string
}

// SubmitJob submits a job under an id that the caller chose. It reports
// whether the job is new: submitting the same content again is not an error,
// other content under the same id is one with CodeConflict.
func (c *Client) SubmitJob(ctx context.Context, id string, spec JobSpec) (created bool, err error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return false, malformed(fmt.Sprintf("the job has no JSON form: %v", err))
	}
	var answer SubmitAnswer
	err = c.do(ctx, clientRequest{method: http.MethodPut, path: jobPath(id), body: body, mutates: true}, &answer)
	return answer.Created, err
}

// Job reads a job. With a wait, at most MaxWait, the front holds the answer
// until the job is final or the wait is over.
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

// Jobs reads one page of the list of jobs.
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

// CancelJob cancels a job and returns its state afterwards. A job that is
// final is not changed.
func (c *Client) CancelJob(ctx context.Context, id string) (JobStatus, error) {
	var answer JobStatus
	err := c.do(ctx, clientRequest{method: http.MethodPost, path: jobPath(id) + "/cancel", mutates: true}, &answer)
	return answer, err
}

// jobPath is the path of a job.
func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// setValue sets a query value unless it is empty.
func setValue(values url.Values, name, value string) {
	if value != "" {
		values.Set(name, value)
	}
}
