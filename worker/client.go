package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/decklever/decklever/api"
)

const (
	heartbeatPath = "/v1/heartbeat"
	// maxAnswerBytes bounds an answer, which contains complete task
	// descriptions.
	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 64 << 10
)

// client sends heartbeats to the agent. It sends each heartbeat once, without
// retries.
type client struct {
	url  string
	http *http.Client
}

func newClient(agent *url.URL, httpClient *http.Client) *client {
	if httpClient == nil {
		httpClient = &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 1},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &client{url: agent.JoinPath(heartbeatPath).String(), http: httpClient}
}

// post sends one heartbeat and returns the answer. If the agent answers with
// another status than 200, the error is an *api.Error.
func (c *client) post(ctx context.Context, heartbeat api.Heartbeat) (answer api.HeartbeatAnswer, err error) {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return answer, fmt.Errorf("encode heartbeat: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("make heartbeat request: %w", err)
	}
	request.GetBody = nil // prevents the transport from sending the request again
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return answer, fmt.Errorf("send heartbeat: %w", err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return answer, readError(response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return answer, fmt.Errorf("read heartbeat answer: %w", err)
	}
	return answer, nil
}

// readError returns the error in the response's body, or one with
// api.CodeInternal if the body is not an error of the API.
func readError(response *http.Response) error {
	agentError := &api.Error{}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil || json.Unmarshal(body, agentError) != nil || agentError.Code == "" {
		agentError = &api.Error{Code: api.CodeInternal, Message: "agent answered " + response.Status}
	}
	agentError.Status = response.StatusCode
	return agentError
}
