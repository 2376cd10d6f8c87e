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
	"net/url"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/protocol"
)

const (
	defaultTimeout        = time.Second
	defaultMaxAnswerBytes = 64 << 20
	// maxIdleConnections and maxIdlePerHost bound the number of idle connections in the
	// pool, and idleTimeout how long a connection stays idle before it is closed.
	maxIdleConnections = 4096
	maxIdlePerHost     = 512
	idleTimeout        = 60 * time.Second
	// maxHeaderBytes bounds the HTTP header of an answer.
	maxHeaderBytes = 16 << 10
)

// ClientConfig configures a Client. Zero fields take their defaults.
type ClientConfig struct {
	// Timeout bounds each call whose context has no earlier deadline. Default 1s.
	Timeout time.Duration
	// MaxAnswerBytes bounds the body of an answer. Default 64 MiB.
	MaxAnswerBytes int64
	// Dialer opens connections. Default: a net.Dialer with TCP keep-alive and a user
	// timeout, so that connections to a dead machine are closed within seconds.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)
	// Metrics counts calls and bytes. Optional.
	Metrics *Metrics
}

// Client calls other processes over a pool of kept-alive connections. It is safe for
// concurrent use.
type Client struct {
	config    ClientConfig
	codec     codec
	buffers   *bufferPool
	calls     *callCounters
	transport *http.Transport
}

// NewClient returns a client. Connections are opened by the first calls.
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
		DialContext:            config.Metrics.countingDialer(config.Dialer),
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{
		config:    config,
		codec:     newCodec(),
		buffers:   newBufferPool(),
		calls:     config.Metrics.forSide(sideClient),
		transport: transport,
	}
}

// Close closes the idle connections. Calls in progress continue on theirs.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Call sends one request to an address ("IP:port") and returns the answer. The request is
// sent at most once. Every error is an *Error: the one that the server returned, one with
// CodeTransport if there was no valid answer in time, or one with CodeBadRequest if the
// request cannot be encoded.
func Call[Request, Answer any](ctx context.Context, c *Client, address string, method protocol.Method, request Request) (Answer, error) {
	var answer Answer
	body, err := c.codec.encode(request)
	if err != nil {
		return answer, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("encode %s: %v", method, err)}
	}
	reply := c.buffers.get()
	defer c.buffers.put(reply)
	failure := c.send(ctx, address, method, body, reply)
	if failure != nil {
		reply.Reset()
	}
	c.calls.count(method, len(body), reply.Len())
	if failure != nil {
		return answer, failure
	}
	if err := c.codec.decode(reply.Bytes(), &answer); err != nil {
		var none Answer
		return none, newTransportError(method, address, fmt.Errorf("decode the answer: %w", err))
	}
	return answer, nil
}

// send posts the body to the address and reads the body of the answer into reply. It
// returns *Error instead of error, so that a failure cannot have another type.
func (c *Client) send(ctx context.Context, address string, method protocol.Method, body []byte, reply *buffer) *Error {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := newRequest(httptrace.WithClientTrace(ctx, trace), address, method, body)
	// An http.Client would follow redirects and so send the call a second time.
	response, err := c.transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return newUnsentError(method, address, err)
	}
	if err != nil {
		return newTransportError(method, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := c.readBody(response, reply); err != nil {
		return newTransportError(method, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return c.readError(method, address, response.StatusCode, reply.Bytes())
	}
	return nil
}

// withDeadline limits the context to the client's timeout, unless its own deadline is no later.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= c.config.Timeout {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.config.Timeout)
}

// newRequest returns the HTTP request of a call. GetBody lets the transport switch to
// another connection if a pooled one was closed before any byte was written.
func newRequest(ctx context.Context, address string, method protocol.Method, body []byte) *http.Request {
	request := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: address, Path: pathPrefix + string(method)},
		Header: requestHeader(ctx),
		Body:   newBodyReader(body),

		ContentLength: int64(len(body)),
		GetBody:       func() (io.ReadCloser, error) { return newBodyReader(body), nil },
	}
	return request.WithContext(ctx)
}

func newBodyReader(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

var errAnswerTooLarge = errors.New("answer too large")

// readBody reads the body of the response into reply. It fails if the body exceeds
// MaxAnswerBytes.
func (c *Client) readBody(response *http.Response, reply *buffer) error {
	limit := c.config.MaxAnswerBytes
	if response.ContentLength > limit {
		return fmt.Errorf("%w: %d bytes, limit %d", errAnswerTooLarge, response.ContentLength, limit)
	}
	if err := reply.readAll(response.Body, limit+1); err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if int64(reply.Len()) > limit {
		return fmt.Errorf("%w: over the limit of %d bytes", errAnswerTooLarge, limit)
	}
	return nil
}

// readError decodes the error in the body of an answer whose status is not 200. If the body
// contains no error, the answer is not from a Server, and the result has CodeTransport.
func (c *Client) readError(method protocol.Method, address string, status int, body []byte) *Error {
	failure := &Error{}
	if err := c.codec.decode(body, failure); err != nil {
		return newTransportError(method, address, fmt.Errorf("status %d without a readable error: %w", status, err))
	}
	if failure.Code == "" || failure.Code == CodeTransport {
		return newTransportError(method, address, fmt.Errorf("status %d without an error code", status))
	}
	return failure
}

func newTransportError(method protocol.Method, address string, err error) *Error {
	return &Error{Code: CodeTransport, Message: fmt.Sprintf("call %s at %s: %v", method, address, err)}
}

// newUnsentError returns a transport error of a call for which no connection was made.
func newUnsentError(method protocol.Method, address string, err error) *Error {
	failure := newTransportError(method, address, err)
	failure.Unsent = true
	return failure
}
