package hollow

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// errNoAgent is the error of a worker's request while its agent is not running.
var errNoAgent = errors.New("connection refused: the hollow agent is not running")

// loopback is an http.RoundTripper that passes a worker's requests to its agent in memory.
type loopback struct {
	// handler is the agent's; nil while the agent is not running.
	handler atomic.Pointer[http.Handler]
	// requests counts the requests of all nodes of the process.
	requests *atomic.Int64
}

// connect passes later requests to handler; nil makes them fail.
func (l *loopback) connect(handler http.Handler) {
	if handler == nil {
		l.handler.Store(nil)
		return
	}
	l.handler.Store(&handler)
}

// RoundTrip implements http.RoundTripper. If the agent is killed before it has answered,
// the answer is lost, as it would be on a socket.
func (l *loopback) RoundTrip(request *http.Request) (*http.Response, error) {
	l.requests.Add(1)
	handler := l.handler.Load()
	if handler == nil {
		return nil, errNoAgent
	}
	answer := &answerWriter{header: http.Header{}, status: http.StatusOK}
	(*handler).ServeHTTP(answer, request)
	if l.handler.Load() != handler {
		return nil, errNoAgent
	}
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return &http.Response{
		Status: http.StatusText(answer.status), StatusCode: answer.status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: answer.header, ContentLength: int64(answer.body.Len()),
		Body: io.NopCloser(&answer.body), Request: request,
	}, nil
}

// answerWriter is an http.ResponseWriter that buffers the answer.
type answerWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answerWriter) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answerWriter) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answerWriter) Write(data []byte) (int, error) { return a.body.Write(data) }
