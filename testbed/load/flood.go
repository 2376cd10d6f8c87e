package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

const (
	// attemptTimeout bounds one submission of a flood. A front answers within 3 s.
	attemptTimeout = 4 * time.Second
	// overLimitBackoff is the backoff after a submission rejected by a limit.
	overLimitBackoff = 100 * time.Millisecond
)

// Flood submits each job once, with at most concurrency requests at a time and no pause
// between them. It bypasses the api client, whose retries would hide a 503.
func (g *Generator) Flood(ctx context.Context, concurrency, jobs int, job func(number int) Job) {
	httpClient := newHTTPClient()
	defer httpClient.CloseIdleConnections()
	g.forEach(concurrency, jobs, func(number int) {
		if ctx.Err() != nil {
			return
		}
		g.submitted.Add(1)
		endpoint := g.config.Endpoints[number%len(g.config.Endpoints)]
		g.config.CallLog.Add(attempt(ctx, httpClient, endpoint, job(number)))
	})
}

// attempt submits a job to one front and returns the entry for the call log.
func attempt(ctx context.Context, httpClient *http.Client, endpoint string, job Job) calllog.Entry {
	entry := calllog.Entry{Kind: calllog.KindSubmit, Sent: monoclock.Now(), JobID: job.ID, Spec: &job.Spec, Class: job.Class}
	answer, err := putJob(ctx, httpClient, endpoint+"/v1/jobs/"+job.ID, job.Spec)
	entry.Answered = monoclock.Now()
	if err != nil {
		entry.Error = err.Error()
		return entry
	}
	entry.Status, entry.RetryAfter, entry.Created = answer.status, answer.retryAfter, answer.status == http.StatusCreated
	if answer.status >= http.StatusBadRequest {
		entry.Error = answer.rejection.Error()
	}
	if answer.rejection.Message != "" {
		entry.Code = answer.rejection.Code
	}
	return entry
}

// rawResponse is the HTTP response to a submission. The rejection is zero if the job was
// accepted.
type rawResponse struct {
	status     int
	retryAfter bool
	rejection  api.Error
}

func putJob(ctx context.Context, httpClient *http.Client, url string, spec api.JobSpec) (rawResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	body, err := json.Marshal(spec)
	if err != nil {
		return rawResponse{}, fmt.Errorf("encode job: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return rawResponse{}, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return rawResponse{}, fmt.Errorf("submit: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer := rawResponse{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After") != ""}
	if err := json.NewDecoder(response.Body).Decode(&answer.rejection); err != nil {
		return rawResponse{}, fmt.Errorf("read answer of status %d: %w", response.StatusCode, err)
	}
	return answer, nil
}
