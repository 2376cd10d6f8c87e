package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// defaultAttemptTimeout is longer than the 3 s within which a front
	// answers, so that the client receives the front's own timeout error.
	defaultAttemptTimeout = 4 * time.Second
	// maxAnswerBytes bounds the size of an answer; the rest is not read.
	maxAnswerBytes = 64 << 20
	// Limits of the pool of idle connections.
	maxIdleConnections = 256
	idleTimeout        = 60 * time.Second
	// Bounds of the backoff before a retry if the front gave no retry time.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// maxRetryAfter bounds the retry time that a front gives, without jitter.
	maxRetryAfter = 10 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Endpoints are base URLs of fronts, such as "http://127.1.0.1:7100". At
	// least one is required.
	Endpoints []string
	// HTTPClient sends all requests. Default: a new client with a connection
	// pool for many concurrent calls.
	HTTPClient *http.Client
	// Timeout bounds one attempt, in addition to the wait that the call
	// requests from the front. Default 4s.
	Timeout time.Duration
}

// Client calls the HTTP interface of the fronts. Every call is idempotent:
// after a connection failure or a 503 answer, the client retries at the next
// endpoint until the context ends, so the context should have a deadline. All
// errors are of type *Error: the answer of a front or, without an answer,
// status 503 with CodeUnavailable, or with CodeOutcomeUnknown if the call may
// have taken effect. A Client is safe for concurrent use.
type Client struct {
	endpoints []string
	http      *http.Client
	timeout   time.Duration
	// current is the index of the endpoint that last gave an answer other than
	// 503. Its initial value is random, to spread clients over the fronts.
	current atomic.Int64
}

// NewClient returns a client for the configured endpoints without connecting
// to them. It returns an error if there is no endpoint or one is not an http or
// https URL.
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

// newHTTPClient returns an HTTP client whose pool of idle connections suffices
// for many concurrent calls.
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

// clientRequest describes a call, which may take several attempts.
type clientRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
	// answerWait is the wait requested from the front; it extends the timeout
	// of the attempt.
	answerWait time.Duration
	// prepare updates the request before each attempt. Optional.
	prepare func(*clientRequest)
	// mutates is true if the call changes state, so that its outcome is unknown
	// if the answer is lost.
	mutates bool
}

// do attempts the call, with a backoff after each 503 or connection failure, at
// one endpoint after another. It returns on any other answer, or if the context
// would end before the next attempt. The answer is decoded into the value that
// into points to.
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
		if failure.Status == http.StatusServiceUnavailable && sleep(ctx, c.retryDelay(attempt, failure)) {
			endpoint = (endpoint + 1) % int64(len(c.endpoints))
			continue
		}
		if mayHaveTakenEffect && failure.Code == CodeUnavailable {
			failure.Code = CodeOutcomeUnknown
		}
		return failure
	}
}

// attempt makes one attempt of the call at an endpoint, with its own timeout.
func (c *Client) attempt(ctx context.Context, endpoint string, call clientRequest, into any) *Error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.answerWait)
	defer cancel()
	// A transport that does not report its connections counts as connected.
	var unconnected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { unconnected.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { unconnected.Store(false) },
	})
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
		return connectionError(call.mutates && !unconnected.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return connectionError(call.mutates, err)
	}
	return readAnswer(response, body, into)
}

// readAnswer decodes the answer of a front into into, or returns the error that
// the answer describes. Unknown fields are ignored, so that an older client
// works with a newer front.
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

// retryAfterHeader returns the Retry-After header, which is in seconds, in
// milliseconds. It returns 0 if the header is missing or invalid.
func retryAfterHeader(header http.Header) int64 {
	delay, err := time.ParseDuration(header.Get("Retry-After") + "s")
	if err != nil || delay < 0 {
		return 0
	}
	return delay.Milliseconds()
}

// connectionError returns the error of an attempt without an answer.
// mayHaveTakenEffect is true for a call that changes state if a connection was
// established, on which it may have been sent.
func connectionError(mayHaveTakenEffect bool, err error) *Error {
	failure := &Error{Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Message: err.Error()}
	if mayHaveTakenEffect {
		failure.Code = CodeOutcomeUnknown
	}
	return failure
}

// retryDelay returns the pause before the next attempt: the retry time that the
// front gave, or else an exponential backoff, both with jitter so that clients
// do not retry at the same moment. A front's retry time applies to that front
// only, so until all endpoints have been tried, the client tries the next one
// after the initial backoff.
func (c *Client) retryDelay(attempt int, failure *Error) time.Duration {
	triedAll := (attempt+1)%len(c.endpoints) == 0
	if !triedAll {
		attempt = 0
	}
	if failure.RetryAfterMillis > 0 && triedAll {
		requestedDelay := min(time.Duration(failure.RetryAfterMillis)*time.Millisecond, maxRetryAfter)
		return requestedDelay + rand.N(requestedDelay/4+1)
	}
	backoff := min(initialBackoff<<min(attempt, 10), maxBackoff)
	return backoff/2 + rand.N(backoff/2)
}

// sleep waits for the pause and reports whether the context is still active. It
// returns false without waiting if the context's deadline is within the pause.
func sleep(ctx context.Context, pause time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// post sends a POST request that changes state and decodes the answer.
func (c *Client) post(ctx context.Context, path string, request, into any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return malformed(fmt.Sprintf("the request has no JSON form: %v", err))
	}
	err = c.do(ctx, clientRequest{method: http.MethodPost, path: path, body: body, mutates: true}, into)
	return err
}

// get sends a GET request and decodes the answer.
func (c *Client) get(ctx context.Context, path string, into any) error {
	err := c.do(ctx, clientRequest{method: http.MethodGet, path: path}, into)
	return err
}
