package rpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/fleet"
)

// Defaults and bounds of the client.
const (
	defaultTimeout        = time.Second
	defaultMaxAnswerBytes = 64 << 20
	maxIdleConnections    = 4096
	maxIdlePerHost        = 512
	idleTimeout           = 60 * time.Second
	maxHeaderBytes        = 16 << 10
)

// ClientConfig says how a Client calls. A zero field means its default.
type ClientConfig struct {
	// Timeout bounds each call whose context has no nearer deadline. Default
	// 1s.
	Timeout time.Duration
	// MaxAnswerBytes bounds the body of an answer. Default 64 MiB.
	MaxAnswerBytes int64
	// Dialer makes connections. Default: a net.Dialer.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)
	// Metrics counts calls and bytes. Optional.
	Metrics *Metrics
}

// Client calls other processes over a pool of kept-alive connections. It is
// safe for use by many goroutines.
type Client struct {
	config    ClientConfig
	codec     codec
	transport *http.Transport
	http      *http.Client
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.MaxAnswerBytes <= 0 {
		config.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if config.Dialer == nil {
		config.Dialer = newDialer().DialContext
	}
	transport := &http.Transport{
		DialContext:            config.Metrics.dialer(config.Dialer),
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{
		config:    config,
		codec:     newCodec(),
		transport: transport,
		http:      &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// refuseRedirect keeps a call from being sent a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the idle connections; those in use end with their calls.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Call sends one request to address ("IP:port") and returns the answer. It is
// sent at most once. Every failure is an *Error: the server's own, or one with
// CodeTransport if no answer was had in time.
func Call[Request, Answer any](ctx context.Context, c *Client, address string, method fleet.Method, request Request) (Answer, error) {
	var answer Answer
	body, err := c.codec.encode(request)
	if err != nil {
		return answer, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("encode %s: %v", method, err)}
	}
	reply, failure := c.send(ctx, address, method, body)
	c.config.Metrics.count(sideClient, method, len(body), len(reply))
	if failure != nil {
		return answer, failure
	}
	if err := c.codec.decode(reply, &answer); err != nil {
		var none Answer
		return none, transportError(method, address, fmt.Errorf("decode the answer: %w", err))
	}
	return answer, nil
}

// send carries one body there and the answer's body back. It returns *Error
// and not error, so that no failure of another type can slip through.
func (c *Client) send(ctx context.Context, address string, method fleet.Method, body []byte) ([]byte, *Error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), address, method, body)
	if err != nil {
		return nil, unsentError(method, address, err)
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return nil, unsentError(method, address, err)
	}
	if err != nil {
		return nil, transportError(method, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := c.readBody(response)
	if err != nil {
		return nil, transportError(method, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.readRefusal(method, address, response.StatusCode, reply)
	}
	return reply, nil
}

func (c *Client) newRequest(ctx context.Context, address string, method fleet.Method, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, methodURL(address, method), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentType)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(deadlineHeader, formatTimeout(time.Until(deadline)))
	}
	return request, nil
}

var errAnswerTooLarge = errors.New("answer too large")

func (c *Client) readBody(response *http.Response) ([]byte, error) {
	limit := c.config.MaxAnswerBytes
	if response.ContentLength > limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", errAnswerTooLarge, response.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: over the limit of %d bytes", errAnswerTooLarge, limit)
	}
	return body, nil
}

// readRefusal turns the body of a failed call into the server's error. A body
// that is none came from something that is not our server.
func (c *Client) readRefusal(method fleet.Method, address string, status int, body []byte) *Error {
	refusal := &Error{}
	if err := c.codec.decode(body, refusal); err != nil {
		return transportError(method, address, fmt.Errorf("status %d without a readable error: %w", status, err))
	}
	if refusal.Code == "" || refusal.Code == CodeTransport {
		return transportError(method, address, fmt.Errorf("status %d without an error code", status))
	}
	return refusal
}

func transportError(method fleet.Method, address string, err error) *Error {
	return &Error{Code: CodeTransport, Message: fmt.Sprintf("call %s at %s: %v", method, address, err)}
}

func unsentError(method fleet.Method, address string, err error) *Error {
	failure := transportError(method, address, err)
	failure.Unsent = true
	return failure
}
