package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// reply is one response of the fake front.
type reply struct {
	status int
	body   any
	// dropConnection closes the connection without a response.
	dropConnection bool
}

func okReply(body any) reply { return reply{status: http.StatusOK, body: body} }

func refusalReply(status int, code api.ErrorCode, fields ...api.FieldError) reply {
	return reply{status: status, body: &api.Error{Status: status, Code: code, Message: "because", Fields: fields}}
}

// unavailableReply returns a 503 response with a retry delay of 10 s. That is the
// default of --timeout, so the client would retry after its deadline and instead
// gives up at once.
func unavailableReply(code api.ErrorCode) reply {
	const status = http.StatusServiceUnavailable
	return reply{status: status, body: &api.Error{Status: status, Code: code, Message: "because", RetryAfterMillis: 10_000}}
}

// receivedRequest is one request that the fake front received.
type receivedRequest struct {
	route, body, ifMatch, idempotencyKey, query string
}

// fakeFront answers the requests of each route with its replies in order, and
// repeats the last one. A request to any other route fails the test.
type fakeFront struct {
	t        *testing.T
	url      string
	sleep    func(context.Context, time.Duration) bool
	mutex    sync.Mutex
	replies  map[string][]reply
	requests []receivedRequest
}

func newFakeFront(t *testing.T, replies map[string][]reply) *fakeFront {
	t.Helper()
	front := &fakeFront{t: t, replies: replies}
	server := httptest.NewServer(front)
	t.Cleanup(server.Close)
	front.url = server.URL
	return front
}

func (f *fakeFront) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	route := request.Method + " " + request.URL.EscapedPath()
	f.mutex.Lock()
	f.requests = append(f.requests, receivedRequest{
		route: route, body: string(body), ifMatch: request.Header.Get("If-Match"),
		idempotencyKey: request.Header.Get("Idempotency-Key"), query: request.URL.RawQuery,
	})
	replies := f.replies[route]
	if len(replies) > 1 {
		f.replies[route] = replies[1:]
	}
	f.mutex.Unlock()
	if len(replies) == 0 {
		f.t.Errorf("got unexpected request %s", route)
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if replies[0].dropConnection {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(replies[0].status)
	_ = json.NewEncoder(writer).Encode(replies[0].body)
}

// requestsTo returns the requests received for a route, in order.
func (f *fakeFront) requestsTo(route string) []receivedRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(f.requests), func(request receivedRequest) bool { return request.route != route })
}
