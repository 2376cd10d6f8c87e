package api

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// newTestEndpoint starts a server that gives the answers in turn, repeats the last
// one, and counts the calls. It returns the URL of the server.
func newTestEndpoint(t *testing.T, calls *atomic.Int64, answers ...http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		number := int(calls.Add(1))
		answers[min(number, len(answers))-1](writer, request)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func answerWith(status int, body any) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(body)
	}
}

// dropConnection is a handler that closes the connection without an answer.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func newTestClient(t *testing.T, endpoints ...string) *Client {
	t.Helper()
	client, err := NewClient(ClientConfig{Endpoints: endpoints})
	if err != nil {
		t.Fatal(err)
	}
	client.current.Store(0)
	return client
}

func TestClient_UnavailableEndpointFailsOver(t *testing.T) {
	var firstCalls, secondCalls, thirdCalls atomic.Int64
	unavailable := &Error{Status: 503, Code: CodeUnavailable, Message: "m", RetryAfterMillis: 1}
	client := newTestClient(t,
		newTestEndpoint(t, &firstCalls, dropConnection),
		newTestEndpoint(t, &secondCalls, answerWith(503, unavailable)),
		newTestEndpoint(t, &thirdCalls, answerWith(201, SubmitAnswer{ID: "a", Created: true})))
	for range 2 {
		created, err := client.SubmitJob(t.Context(), "a", *validJob())
		if err != nil || !created {
			t.Fatalf("got created %v, error %v, want true, nil", created, err)
		}
	}
	if firstCalls.Load() != 1 || secondCalls.Load() != 1 || thirdCalls.Load() != 2 {
		t.Fatalf("got calls %d, %d, %d, want 1, 1, 2", firstCalls.Load(), secondCalls.Load(), thirdCalls.Load())
	}
}

func TestClient_OtherErrorsAreNotRetried(t *testing.T) {
	for status, code := range map[int]ErrorCode{429: CodeOverLimit, 409: CodeConflict, 422: CodeInvalid, 500: CodeInternal} {
		var calls atomic.Int64
		client := newTestClient(t, newTestEndpoint(t, &calls, answerWith(status, &Error{Status: status, Code: code, Message: "m", RetryAfterMillis: 700})))
		_, err := client.SubmitJob(t.Context(), "a", *validJob())
		var refusal *Error
		if !errors.As(err, &refusal) || refusal.Code != code || refusal.RetryAfterMillis != 700 || calls.Load() != 1 {
			t.Fatalf("status %d: got error %v after %d calls, want the answer's error after 1 call", status, err, calls.Load())
		}
	}
}

// submitOver submits a job over a transport, with a short deadline, and returns the error.
func submitOver(t *testing.T, transport http.RoundTripper) error {
	t.Helper()
	client, err := NewClient(ClientConfig{Endpoints: []string{"http://127.0.0.1:1"}, HTTPClient: &http.Client{Transport: transport}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = client.SubmitJob(ctx, "a", *validJob())
	return err
}

// TestClient_DeadlineInDialIsUnavailable guards against an unknown outcome of a call that was
// never sent, because its deadline ended before there was a connection.
func TestClient_DeadlineInDialIsUnavailable(t *testing.T) {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	if err := submitOver(t, transport); !errors.Is(err, &Error{Code: CodeUnavailable}) {
		t.Errorf("got error %v, want %s", err, CodeUnavailable)
	}
}

type failingTransport struct{}

func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("no answer")
}

// TestClient_UntracedTransportIsOutcomeUnknown guards against a call that counts as never sent
// because its transport does not report connections.
func TestClient_UntracedTransportIsOutcomeUnknown(t *testing.T) {
	if err := submitOver(t, failingTransport{}); !errors.Is(err, &Error{Code: CodeOutcomeUnknown}) {
		t.Errorf("got error %v, want %s", err, CodeOutcomeUnknown)
	}
}

func TestClient_LostAnswerIsOutcomeUnknown(t *testing.T) {
	var calls atomic.Int64
	client := newTestClient(t, newTestEndpoint(t, &calls, dropConnection))
	// No process listens on port 1, and no other test is assigned it.
	unreachable := newTestClient(t, "http://127.0.0.1:1")
	// Each call has its own deadline. The first call would use up a common one, and
	// the later calls could then not tell whether they had an effect.
	withTimeout := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		t.Cleanup(cancel)
		return ctx
	}
	_, submit := client.SubmitJob(withTimeout(), "a", *validJob())
	_, read := client.Job(withTimeout(), "a", 0)
	_, unsent := unreachable.SubmitJob(withTimeout(), "a", *validJob())
	if !errors.Is(submit, &Error{Code: CodeOutcomeUnknown}) || !errors.Is(read, &Error{Code: CodeUnavailable}) || !errors.Is(unsent, &Error{Code: CodeUnavailable}) {
		t.Fatalf("got errors %v; %v; %v, want outcome_unknown, unavailable, unavailable", submit, read, unsent)
	}
}

func TestClient_RetryAfterDelaysRetry(t *testing.T) {
	var calls atomic.Int64
	answer := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "5")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	client := newTestClient(t, newTestEndpoint(t, &calls, answer))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := client.Workers(ctx)
	var refusal *Error
	if !errors.As(err, &refusal) || refusal.RetryAfterMillis != 5000 || calls.Load() != 1 {
		t.Fatalf("got error %v after %d calls, want a retry time of 5000 ms after 1 call", err, calls.Load())
	}
}

func TestClient_PutConfigSendsBaseAndOrderID(t *testing.T) {
	var calls atomic.Int64
	client := newTestClient(t, newTestEndpoint(t, &calls, func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("If-Match") != `"7"` || request.Header.Get("Idempotency-Key") != "order" {
			t.Errorf("got headers %v, want If-Match \"7\" and Idempotency-Key order", request.Header)
		}
		answerWith(200, ConfigStatus{Version: 8})(writer, request)
	}))
	version, err := client.PutConfig(t.Context(), 7, "order", *validConfig())
	if err != nil || version != 8 {
		t.Fatalf("got version %d, error %v, want 8, nil", version, err)
	}
}
