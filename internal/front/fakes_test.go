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

const validJob = `{"queue":"default","steps":[{"name":"a","tasks":[{"service":"s","resources":{"cpu_millis":1}}]}]}`

const validConfig = `{"queues":[{"name":"default"}]}`

// fakeLink is a LeaderLink that the test controls. Except for stale, mutex guards the fields.
type fakeLink struct {
	mutex            sync.Mutex
	leader           string
	config           *api.Config
	stale            bool
	reportedFailures []string
	// cancelCall cancels the supervised call that started last, as if another leader had
	// become known.
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
	l.reportedFailures = append(l.reportedFailures, address)
}

func (l *fakeLink) Supervise(ctx context.Context, _ string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cancelCall = cancel
	return ctx, cancel
}

// changeLeader makes another leader known, and cancels the supervised call that started last.
func (l *fakeLink) changeLeader(address string) {
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

// fakeLeader is a leader whose handlers the test supplies.
type fakeLeader struct {
	server  *rpc.Server
	address string
	mutex   sync.Mutex
	calls   []protocol.Method
}

// newFakeLeader starts a fakeLeader without handlers.
func newFakeLeader(t *testing.T) *fakeLeader {
	t.Helper()
	leader := &fakeLeader{server: rpc.NewServer(rpc.ServerConfig{})}
	server := httptest.NewServer(leader.server)
	t.Cleanup(server.Close)
	leader.address = server.Listener.Addr().String()
	return leader
}

// newFakeLeaderOnNetwork is like newFakeLeader, but serves on an in-memory network, for use in a
// testing/synctest bubble.
func newFakeLeaderOnNetwork(t *testing.T, network *testnetwork.Network, address string) *fakeLeader {
	t.Helper()
	leader := &fakeLeader{server: rpc.NewServer(rpc.ServerConfig{}), address: address}
	server := &http.Server{Handler: leader.server, ReadHeaderTimeout: time.Second}
	listener := network.Listen(t, address)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return leader
}

// handleMethod serves a method. The handler gets the number of calls to the leader so far, this
// one included.
func handleMethod[Request, Answer any](leader *fakeLeader, method protocol.Method, handler func(context.Context, Request, int) (Answer, error)) {
	rpc.Handle(leader.server, method, func(ctx context.Context, request Request) (Answer, error) {
		leader.mutex.Lock()
		leader.calls = append(leader.calls, method)
		number := len(leader.calls)
		leader.mutex.Unlock()
		return handler(ctx, request, number)
	})
}

func (l *fakeLeader) callCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.calls)
}

// failMethod makes every call of a method fail with the error.
func failMethod[Request, Answer any](leader *fakeLeader, method protocol.Method, err error) {
	handleMethod(leader, method, func(context.Context, Request, int) (Answer, error) {
		var zero Answer
		return zero, err
	})
}

// newFront returns a front whose Status handler panics.
func newFront(t *testing.T, link *fakeLink, settings Settings) *Front {
	t.Helper()
	return newFrontWithClient(t, rpc.ClientConfig{}, link, settings)
}

// newFrontOnNetwork is like newFront, but makes its calls on an in-memory network.
func newFrontOnNetwork(t *testing.T, network *testnetwork.Network, link *fakeLink, settings Settings) *Front {
	t.Helper()
	return newFrontWithClient(t, rpc.ClientConfig{Dialer: network.DialContext}, link, settings)
}

func newFrontWithClient(t *testing.T, config rpc.ClientConfig, link *fakeLink, settings Settings) *Front {
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

// doRequest sends a request and returns the answer. headers alternates names and values.
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

// requireError checks the status, the code and the form that all error answers have, and
// returns the error.
func requireError(t *testing.T, answer *httptest.ResponseRecorder, status int, code api.ErrorCode) api.Error {
	t.Helper()
	var got api.Error
	if refusal := api.DecodeStrict(answer.Body, &got); refusal != nil {
		t.Fatalf("answer with status %d is not in the form of an error: %v", answer.Code, refusal)
	}
	if answer.Code != status || got.Status != status || got.Code != code || got.Message == "" {
		t.Fatalf("got status %d with the error %+v, want status %d with code %s", answer.Code, got, status, code)
	}
	if answer.Header().Get("Content-Type") != "application/json" || answer.Header().Get(requestIDHeader) == "" {
		t.Fatalf("got the headers %v, want Content-Type application/json and a request id", answer.Header())
	}
	if retryable(status) && (answer.Header().Get("Retry-After") == "" || got.RetryAfterMillis <= 0) {
		t.Fatalf("answer with status %d has no Retry-After: %+v", status, got)
	}
	return got
}

// requireOK checks that the answer has the status, and decodes its body.
func requireOK[T any](t *testing.T, answer *httptest.ResponseRecorder, status int) T {
	t.Helper()
	var body T
	if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil || answer.Code != status {
		t.Fatalf("got status %d, want %d with a valid body: %s", answer.Code, status, answer.Body)
	}
	return body
}

func apiError(status int, code api.ErrorCode, retryAfterMillis int64) *api.Error {
	return &api.Error{Status: status, Code: code, Message: "because", RetryAfterMillis: retryAfterMillis}
}
