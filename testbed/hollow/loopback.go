package hollow

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// errNoAgent is what a worker gets for a heartbeat to an agent that does not
// run.
var errNoAgent = errors.New("connection refused: the hollow agent is not running")

// loopback carries a worker's requests to its agent in memory. It is an
// http.RoundTripper.
type loopback struct {
	// handler is nil while the agent does not run.
	handler atomic.Pointer[http.Handler]
	// requests counts over all nodes of the process.
	requests *atomic.Int64
}

// connect makes the loopback lead to handler; nil disconnects it.
func (l *loopback) connect(handler http.Handler) {
	if handler == nil {
		l.handler.Store(nil)
		return
	}
	l.handler.Store(&handler)
}

// RoundTrip implements http.RoundTripper. An answer of an agent that was
// killed meanwhile is lost, as it would be on a socket.
func (l *loopback) RoundTrip(request *http.Request) (*http.Response, error) {
	l.requests.Add(1)
	serving := l.handler.Load()
	if serving == nil {
		return nil, errNoAgent
	}
	answer := &answerWriter{header: http.Header{}, status: http.StatusOK}
	(*serving).ServeHTTP(answer, request)
	if l.handler.Load() != serving {
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

// answerWriter buffers what a handler answers.
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
