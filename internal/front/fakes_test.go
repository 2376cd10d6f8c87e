package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/testnetwork"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const goodJob = `{"queue":"default","steps":[{"name":"a","tasks":[{"service":"s","resources":{"cpu_millis":1}}]}]}`

const goodConfig = `{"queues":[{"name":"default"}]}`

// fakeLink is a Link that the test controls.
type fakeLink struct {
	mutex  sync.Mutex
	leader string
	config *api.Config
	stale  bool
	failed []string
	// cancelCall cancels the newest supervised call, as if another leader were known.
	cancelCall context.CancelFunc
}

func (l *fakeLink) Leader() (string, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.leader, l.leader != ""
}

func (l *fakeLink) ObserveHint(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leader = address
}

func (l *fakeLink) ReportFailure(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failed = append(l.failed, address)
}

func (l *fakeLink) Supervise(ctx context.Context, _ string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cancelCall = cancel
	return ctx, cancel
}

// moveTo makes another leader known.
func (l *fakeLink) moveTo(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leader = address
	l.cancelCall()
}

func (l *fakeLink) Config() *api.Config {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.config
}

func (l *fakeLink) Fresh() bool { return !l.stale }

// fakeLeader is a scheduler with handlers of the test.
type fakeLeader struct {
	server  *rpc.Server
	address string
	mutex   sync.Mutex
	calls   []protocol.Method
}

// newLeader starts a leader without handlers.
func newLeader(t *testing.T) *fakeLeader {
	t.Helper()
	leader := &fakeLeader{server: rpc.NewServer(rpc.ServerConfig{})}
	server := httptest.NewServer(leader.server)
	t.Cleanup(server.Close)
	leader.address = server.Listener.Addr().String()
	return leader
}

// newLeaderOn is newLeader on a network of the test, for a bubble of testing/synctest.
func newLeaderOn(t *testing.T, network *testnetwork.Network, address string) *fakeLeader {
	t.Helper()
	leader := &fakeLeader{server: rpc.NewServer(rpc.ServerConfig{}), address: address}
	server := &http.Server{Handler: leader.server, ReadHeaderTimeout: time.Second}
	listener := network.Listen(t, address)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return leader
}

// handleMethod serves a method; the handler gets the number of the call, from 1.
func handleMethod[Request, Answer any](leader *fakeLeader, method protocol.Method, handler func(context.Context, Request, int) (Answer, error)) {
	rpc.Handle(leader.server, method, func(ctx context.Context, request Request) (Answer, error) {
		leader.mutex.Lock()
		leader.calls = append(leader.calls, method)
		number := len(leader.calls)
		leader.mutex.Unlock()
		return handler(ctx, request, number)
	})
}

func (l *fakeLeader) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.calls)
}

// failMethod serves a method with one error.
func failMethod[Request, Answer any](leader *fakeLeader, method protocol.Method, err error) {
	handleMethod(leader, method, func(context.Context, Request, int) (Answer, error) {
		var none Answer
		return none, err
	})
}

// newFront returns a front whose health check panics.
func newFront(t *testing.T, link *fakeLink, settings Settings) *Front {
	t.Helper()
	return newFrontWith(t, rpc.ClientConfig{}, link, settings)
}

// newFrontOn is newFront on a network of the test.
func newFrontOn(t *testing.T, network *testnetwork.Network, link *fakeLink, settings Settings) *Front {
	t.Helper()
	return newFrontWith(t, rpc.ClientConfig{Dialer: network.DialContext}, link, settings)
}

func newFrontWith(t *testing.T, config rpc.ClientConfig, link *fakeLink, settings Settings) *Front {
	t.Helper()
	config.Timeout = MaxAttemptDuration + time.Second
	client := rpc.NewClient(config)
	t.Cleanup(client.Close)
	front, err := New(Config{
		Link: link, Client: client, Settings: settings,
		Status: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") }),
	})
	if err != nil {
		t.Fatal(err)
	}
	return front
}

// doRequest sends a request and returns the answer; headers are name, value pairs.
func doRequest(t *testing.T, front http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for pair := range slices.Chunk(headers, 2) {
		request.Header.Set(pair[0], pair[1])
	}
	recorder := httptest.NewRecorder()
	front.ServeHTTP(recorder, request)
	return recorder
}

// requireError checks status, code, and the form that all errors have.
func requireError(t *testing.T, answer *httptest.ResponseRecorder, status int, code api.ErrorCode) api.Error {
	t.Helper()
	var shape api.Error
	if refusal := api.DecodeStrict(answer.Body, &shape); refusal != nil {
		t.Fatalf("status %d without the form of an error: %v", answer.Code, refusal)
	}
	if answer.Code != status || shape.Status != status || shape.Code != code || shape.Message == "" {
		t.Fatalf("status %d with %+v, want %d %s", answer.Code, shape, status, code)
	}
	if answer.Header().Get("Content-Type") != "application/json" || answer.Header().Get(requestIDHeader) == "" {
		t.Fatalf("headers %v", answer.Header())
	}
	if retryable(status) && (answer.Header().Get("Retry-After") == "" || shape.RetryAfterMillis <= 0) {
		t.Fatalf("%d without Retry-After: %+v", status, shape)
	}
	return shape
}

// requireOK checks the status and decodes the body.
func requireOK[T any](t *testing.T, answer *httptest.ResponseRecorder, status int) T {
	t.Helper()
	var body T
	if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil || answer.Code != status {
		t.Fatalf("status %d, want %d: %s", answer.Code, status, answer.Body)
	}
	return body
}

func apiError(status int, code api.ErrorCode, retryAfterMillis int64) *api.Error {
	return &api.Error{Status: status, Code: code, Message: "because", RetryAfterMillis: retryAfterMillis}
}
