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

// SubmitAnswer is the answer of PUT /v1/jobs/{id}.
type SubmitAnswer struct {
	ID string `json:"id"`
	// Created is false if the same job had been handed in before.
	Created bool `json:"created"`
}

// ValidateAnswer is the answer of POST /v1/config/validate to a configuration
// that could be taken.
type ValidateAnswer struct {
	Valid bool `json:"valid"`
}

// JobsQuery filters and pages GET /v1/jobs; empty fields match all.
type JobsQuery struct {
	Queue string
	State State
	// Limit is the most jobs of one page. Default 100.
	Limit     int
	PageToken string
}

// SubmitJob hands in a job under an id that the caller chose. It reports
// whether the job is new; the same content again is no error.
func (c *Client) SubmitJob(ctx context.Context, id string, spec JobSpec) (created bool, err error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return false, malformed(fmt.Sprintf("the job has no JSON form: %v", err))
	}
	var answer SubmitAnswer
	err = c.do(ctx, clientCall{method: http.MethodPut, path: jobPath(id), body: body, effect: true}, &answer)
	return answer.Created, err
}

// Job reads a job. With a wait, at most MaxWait, the answer is held until the
// job is final or the wait is over.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (JobStatus, error) {
	end := time.Now().Add(min(wait, MaxWait))
	call := clientCall{method: http.MethodGet, path: jobPath(id)}
	if wait > 0 {
		call.renew = func(call *clientCall) {
			call.held = max(0, time.Until(end)).Round(time.Millisecond)
			call.path = jobPath(id) + "?wait=" + call.held.String()
		}
	}
	var answer JobStatus
	err := c.do(ctx, call, &answer)
	return answer, err
}

// Jobs lists jobs, a page at a time.
func (c *Client) Jobs(ctx context.Context, query JobsQuery) (JobList, error) {
	values := url.Values{}
	setValue(values, "queue", query.Queue)
	setValue(values, "state", string(query.State))
	setValue(values, "page_token", query.PageToken)
	if query.Limit > 0 {
		values.Set("limit", strconv.Itoa(query.Limit))
	}
	var answer JobList
	err := c.read(ctx, "/v1/jobs?"+values.Encode(), &answer)
	return answer, err
}

// CancelJob cancels a job that is not final; for one that is it changes
// nothing. The answer is the state afterwards.
func (c *Client) CancelJob(ctx context.Context, id string) (JobStatus, error) {
	var answer JobStatus
	err := c.do(ctx, clientCall{method: http.MethodPost, path: jobPath(id) + "/cancel", effect: true}, &answer)
	return answer, err
}

// Config reads the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigStatus, error) {
	var answer ConfigStatus
	err := c.read(ctx, "/v1/config", &answer)
	return answer, err
}

// PutConfig proposes a configuration in place of version base. The order id
// names this attempt: sent again, it gets the same answer again. Of those
// that race on a base one wins; the others get CodeLostRace.
func (c *Client) PutConfig(ctx context.Context, base uint64, orderID string, config Config) (version uint64, err error) {
	body, err := json.Marshal(config)
	if err != nil {
		return 0, malformed(fmt.Sprintf("the configuration has no JSON form: %v", err))
	}
	header := http.Header{}
	header.Set("If-Match", strconv.Quote(strconv.FormatUint(base, 10)))
	header.Set("Idempotency-Key", orderID)
	var answer ConfigStatus
	err = c.do(ctx, clientCall{method: http.MethodPut, path: "/v1/config", header: header, body: body, effect: true}, &answer)
	return answer.Version, err
}

// ValidateConfig checks a configuration without proposing it; nil means that
// it could be taken.
func (c *Client) ValidateConfig(ctx context.Context, config Config) error {
	body, err := json.Marshal(config)
	if err != nil {
		return malformed(fmt.Sprintf("the configuration has no JSON form: %v", err))
	}
	var answer ValidateAnswer
	err = c.do(ctx, clientCall{method: http.MethodPost, path: "/v1/config/validate", body: body}, &answer)
	return err
}

// ConfigVersions reads the history of configurations, newest first.
func (c *Client) ConfigVersions(ctx context.Context) (ConfigVersions, error) {
	var answer ConfigVersions
	err := c.read(ctx, "/v1/config/versions", &answer)
	return answer, err
}

// Rollout reads which process has which version in force.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	var answer Rollout
	err := c.read(ctx, "/v1/config/rollout", &answer)
	return answer, err
}

// Workers reads the registry of workers.
func (c *Client) Workers(ctx context.Context) (WorkerList, error) {
	var answer WorkerList
	err := c.read(ctx, "/v1/workers", &answer)
	return answer, err
}

// Members reads the schedulers.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	var answer MemberList
	err := c.read(ctx, "/v1/members", &answer)
	return answer, err
}

// Queues reads the queues and what waits in them.
func (c *Client) Queues(ctx context.Context) (QueueList, error) {
	var answer QueueList
	err := c.read(ctx, "/v1/queues", &answer)
	return answer, err
}

// Queue reads one queue and what waits in it.
func (c *Client) Queue(ctx context.Context, name string) (QueueStatus, error) {
	var answer QueueStatus
	err := c.read(ctx, "/v1/queues/"+url.PathEscape(name), &answer)
	return answer, err
}

// read makes a plain GET call.
func (c *Client) read(ctx context.Context, path string, into any) error {
	err := c.do(ctx, clientCall{method: http.MethodGet, path: path}, into)
	return err
}

// jobPath is the path of a job.
func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// setValue sets a query value unless it is empty.
func setValue(values url.Values, name, value string) {
	if value != "" {
		values.Set(name, value)
	}
}
