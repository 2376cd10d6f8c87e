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
	// attemptTimeout bounds one attempt of a flood. A front answers within 3 s.
	attemptTimeout = 4 * time.Second
	// limitBackoff is the backoff of a caller that was rejected by a limit.
	limitBackoff = 100 * time.Millisecond
)

// Flood submits each job once, from that many callers, each as fast as it gets answers.
// It bypasses the api client, which would hide a 503 by retrying.
func (g *Generator) Flood(ctx context.Context, concurrency, jobs int, job func(number int) Job) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	g.forEach(concurrency, jobs, func(number int) {
		if ctx.Err() != nil {
			return
		}
		g.submitted.Add(1)
		endpoint := g.config.Endpoints[number%len(g.config.Endpoints)]
		g.config.CallLog.Add(attempt(ctx, transport, endpoint, job(number)))
	})
}

// attempt submits a job at one front and returns what was answered.
func attempt(ctx context.Context, transport *http.Client, endpoint string, job Job) calllog.Entry {
	entry := calllog.Entry{Kind: calllog.KindSubmit, Sent: monoclock.Now(), JobID: job.ID, Spec: &job.Spec, Class: job.Class}
	answer, err := put(ctx, transport, endpoint+"/v1/jobs/"+job.ID, job.Spec)
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

// rawResponse is one HTTP response.
type rawResponse struct {
	status     int
	retryAfter bool
	rejection  api.Error
}

func put(ctx context.Context, transport *http.Client, url string, spec api.JobSpec) (rawResponse, error) {
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
	response, err := transport.Do(request)
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
