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

// reply is one answer of the fake front.
type reply struct {
	status int
	body   any
	// lost breaks the connection in place of an answer.
	lost bool
}

func ok(body any) reply { return reply{status: http.StatusOK, body: body} }

func refusal(status int, code api.ErrorCode, fields ...api.FieldError) reply {
	return reply{status: status, body: &api.Error{Status: status, Code: code, Message: "because", Fields: fields}}
}

// refusalLater refuses with a pause that no call has the time for, so that
// the client gives up at once.
func refusalLater(code api.ErrorCode) reply {
	const status = http.StatusServiceUnavailable
	return reply{status: status, body: &api.Error{Status: status, Code: code, Message: "because", RetryAfterMillis: 10_000}}
}

// received is one request that the fake front got.
type received struct {
	route, body, base, order, query string
}

// fakeFront answers each route with its replies in order; the last stays.
type fakeFront struct {
	t        *testing.T
	url      string
	sleep    func(context.Context, time.Duration) bool
	mutex    sync.Mutex
	replies  map[string][]reply
	requests []received
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
	f.requests = append(f.requests, received{
		route: route, body: string(body), base: request.Header.Get("If-Match"),
		order: request.Header.Get("Idempotency-Key"), query: request.URL.RawQuery,
	})
	replies := f.replies[route]
	if len(replies) > 1 {
		f.replies[route] = replies[1:]
	}
	f.mutex.Unlock()
	if len(replies) == 0 {
		f.t.Errorf("unexpected %s", route)
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if replies[0].lost {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(replies[0].status)
	_ = json.NewEncoder(writer).Encode(replies[0].body)
}

// requestsTo returns the requests of a route.
func (f *fakeFront) requestsTo(route string) []received {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(f.requests), func(one received) bool { return one.route != route })
}
