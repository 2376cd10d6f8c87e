package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// defaultAttemptTimeout is a little longer than the 3 s in which a front
	// answers, so that its own answer is what the client gets.
	defaultAttemptTimeout = 4 * time.Second
	// maxAnswerBytes bounds the answer that the client reads.
	maxAnswerBytes = 64 << 20
	// Idle connections that are kept for later calls.
	maxIdleConnections = 256
	idleTimeout        = 60 * time.Second
	// Bounds of the pause before a retry for which the front named no time.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// maxRetryAfter bounds the pause that a front asks for.
	maxRetryAfter = 10 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Endpoints are base URLs of fronts, such as "http://127.1.0.1:7100". At
	// least one is required.
	Endpoints []string
	// HTTPClient sends all requests. Default: a client of its own.
	HTTPClient *http.Client
	// Timeout bounds one attempt, in addition to the time for which a front
	// holds the answer. Default 4s.
	Timeout time.Duration
}

// Client calls the HTTP interface of the fronts. Every call is idempotent, so
// after a failed connection or a 503 answer it is repeated at the next
// endpoint, until the context ends: give the context a deadline. All errors
// are of type *Error: the answer of a front or, if there was none, status 503
// with CodeUnavailable, or with CodeOutcomeUnknown if the call may have taken
// effect. A Client is safe for concurrent use.
type Client struct {
	endpoints []string
	http      *http.Client
	timeout   time.Duration
	// current is the index of the endpoint that answered last, at first a
	// random one.
	current atomic.Int64
}

// NewClient returns a client after checking the endpoints. It does not
// connect.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.Endpoints) == 0 {
		return nil, errors.New("no endpoints given")
	}
	client := &Client{http: config.HTTPClient, timeout: config.Timeout}
	for _, endpoint := range config.Endpoints {
		parsed, err := url.Parse(endpoint)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, fmt.Errorf("endpoint %q is not a URL such as http://127.1.0.1:7100", endpoint)
		}
		client.endpoints = append(client.endpoints, strings.TrimRight(endpoint, "/"))
	}
	if client.http == nil {
		client.http = newHTTPClient()
	}
	if client.timeout <= 0 {
		client.timeout = defaultAttemptTimeout
	}
	client.current.Store(rand.Int64N(int64(len(client.endpoints))))
	return client, nil
}

// newHTTPClient returns an HTTP client that keeps enough idle connections for
// many concurrent calls.
func newHTTPClient() *http.Client {
	transport := &http.Transport{
		Proxy:               http.ProxyFromEnvironment,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &http.Client{Transport: transport}
}

// Close closes idle connections; it does not interrupt calls in progress.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// clientRequest is one call, over all its attempts.
type clientRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
	// answerWait is how long the front may hold its answer.
	answerWait time.Duration
	// prepare updates the request before each attempt. Optional.
	prepare func(*clientRequest)
	// mutates says that the call changes state, so that after a lost answer
	// its outcome is unknown.
	mutates bool
}

// do attempts the call at one endpoint after the other until it gets an
// answer other than 503 or the context ends.
func (c *Client) do(ctx context.Context, call clientRequest, into any) error {
	endpoint := c.current.Load()
	mayHaveTakenEffect := false
	for attempt := 0; ; attempt++ {
		if call.prepare != nil {
			call.prepare(&call)
		}
		failure := c.attempt(ctx, c.endpoints[endpoint], call, into)
		if failure == nil || failure.Status != http.StatusServiceUnavailable {
			c.current.Store(endpoint)
		}
		if failure == nil {
			return nil
		}
		mayHaveTakenEffect = mayHaveTakenEffect || failure.Code == CodeOutcomeUnknown
		if failure.Status == http.StatusServiceUnavailable && sleepBefore(ctx, c.retryDelay(attempt, failure)) {
			endpoint = (endpoint + 1) % int64(len(c.endpoints))
			continue
		}
		if mayHaveTakenEffect && failure.Code == CodeUnavailable {
			failure.Code = CodeOutcomeUnknown
		}
		return failure
	}
}

// attempt makes one attempt at one endpoint.
func (c *Client) attempt(ctx context.Context, endpoint string, call clientRequest, into any) *Error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.answerWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, endpoint+call.path, bytes.NewReader(call.body))
	if err != nil {
		return malformed(err.Error())
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return connectionError(call, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return connectionError(call, err)
	}
	return readAnswer(response, body, into)
}

// readAnswer decodes the answer of a front. Unknown fields are ignored, so
// that an older client works with a newer front.
func readAnswer(response *http.Response, body []byte, into any) *Error {
	if response.StatusCode < 300 {
		if err := json.Unmarshal(body, into); err != nil {
			return &Error{Status: response.StatusCode, Code: CodeInternal, Message: fmt.Sprintf("the answer could not be read: %v", err)}
		}
		return nil
	}
	failure := &Error{}
	if err := json.Unmarshal(body, failure); err != nil || failure.Code == "" {
		failure = &Error{Code: CodeInternal, Message: fmt.Sprintf("answer %s without a reason", response.Status)}
		if response.StatusCode == http.StatusServiceUnavailable {
			failure.Code = CodeUnavailable
		}
	}
	failure.Status = response.StatusCode
	if failure.RetryAfterMillis == 0 {
		failure.RetryAfterMillis = retryAfterHeader(response.Header)
	}
	return failure
}

// retryAfterHeader returns a Retry-After of whole seconds in milliseconds.
func retryAfterHeader(header http.Header) int64 {
	seconds, err := time.ParseDuration(header.Get("Retry-After") + "s")
	if err != nil || seconds < 0 {
		return 0
	}
	return seconds.Milliseconds()
}

// connectionError is the error of an attempt without an answer. Only one that
// failed to connect certainly had no effect.
func connectionError(call clientRequest, err error) *Error {
	failure := &Error{Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Message: err.Error()}
	var network *net.OpError
	unsent := errors.As(err, &network) && network.Op == "dial"
	if call.mutates && !unsent {
		failure.Code = CodeOutcomeUnknown
	}
	return failure
}

// retryDelay returns the pause before the next attempt: what the front asked
// for, or an exponential backoff, with jitter so that clients spread. What a
// front asked for applies to that front only: until each endpoint was tried,
// the next is tried after the initial backoff.
func (c *Client) retryDelay(attempt int, failure *Error) time.Duration {
	triedAll := (attempt+1)%len(c.endpoints) == 0
	if !triedAll {
		attempt = 0
	}
	if failure.RetryAfterMillis > 0 && triedAll {
		asked := min(time.Duration(failure.RetryAfterMillis)*time.Millisecond, maxRetryAfter)
		return asked + rand.N(asked/4+1)
	}
	longest := min(initialBackoff<<min(attempt, 10), maxBackoff)
	return longest/2 + rand.N(longest/2)
}

// sleepBefore waits and reports whether the context is still active
// afterwards. It does not wait if the context would end before the pause
// does.
func sleepBefore(ctx context.Context, length time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= length {
		return false
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// post sends a POST request that changes state.
func (c *Client) post(ctx context.Context, path string, request, into any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return malformed(fmt.Sprintf("the request has no JSON form: %v", err))
	}
	err = c.do(ctx, clientRequest{method: http.MethodPost, path: path, body: body, mutates: true}, into)
	return err
}

// get sends a GET request.
func (c *Client) get(ctx context.Context, path string, into any) error {
	err := c.do(ctx, clientRequest{method: http.MethodGet, path: path}, into)
	return err
}
