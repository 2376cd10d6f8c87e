package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// endpointOf serves fixed answers in turn, the last one from then on, and
// counts the calls.
func endpointOf(t *testing.T, calls *atomic.Int64, answers ...http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		number := int(calls.Add(1))
		answers[min(number, len(answers))-1](writer, request)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func answering(status int, body any) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(body)
	}
}

// dropping closes the connection without an answer.
func dropping(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func clientOf(t *testing.T, endpoints ...string) *Client {
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
	client := clientOf(t,
		endpointOf(t, &firstCalls, dropping),
		endpointOf(t, &secondCalls, answering(503, unavailable)),
		endpointOf(t, &thirdCalls, answering(201, SubmitAnswer{ID: "a", Created: true})))
	for range 2 {
		created, err := client.SubmitJob(t.Context(), "a", *validJob())
		if err != nil || !created {
			t.Fatalf("created %v, error %v", created, err)
		}
	}
	if firstCalls.Load() != 1 || secondCalls.Load() != 1 || thirdCalls.Load() != 2 {
		t.Fatalf("calls %d %d %d", firstCalls.Load(), secondCalls.Load(), thirdCalls.Load())
	}
}

func TestClient_OtherErrorsAreNotRetried(t *testing.T) {
	for status, code := range map[int]ErrorCode{429: CodeOverLimit, 409: CodeConflict, 422: CodeInvalid, 500: CodeInternal} {
		var calls atomic.Int64
		client := clientOf(t, endpointOf(t, &calls, answering(status, &Error{Status: status, Code: code, Message: "m", RetryAfterMillis: 700})))
		_, err := client.SubmitJob(t.Context(), "a", *validJob())
		var refusal *Error
		if !errors.As(err, &refusal) || refusal.Code != code || refusal.RetryAfterMillis != 700 || calls.Load() != 1 {
			t.Fatalf("status %d: error %v after %d calls", status, err, calls.Load())
		}
	}
}

func TestClient_LostAnswerIsOutcomeUnknown(t *testing.T) {
	var calls atomic.Int64
	client := clientOf(t, endpointOf(t, &calls, dropping))
	// Nothing listens there, and no test beside this one is ever given the port.
	unreachable := clientOf(t, "http://127.0.0.1:1")
	// Each call has a time of its own: one that found it used up could not tell
	// what became of it.
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		t.Cleanup(cancel)
		return ctx
	}
	_, submit := client.SubmitJob(short(), "a", *validJob())
	_, read := client.Job(short(), "a", 0)
	_, unsent := unreachable.SubmitJob(short(), "a", *validJob())
	if !errors.Is(submit, &Error{Code: CodeOutcomeUnknown}) || !errors.Is(read, &Error{Code: CodeUnavailable}) || !errors.Is(unsent, &Error{Code: CodeUnavailable}) {
		t.Fatalf("errors %v; %v; %v", submit, read, unsent)
	}
}

func TestClient_RetryAfterDelaysRetry(t *testing.T) {
	var calls atomic.Int64
	answer := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "5")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	client := clientOf(t, endpointOf(t, &calls, answer))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := client.Workers(ctx)
	var refusal *Error
	if !errors.As(err, &refusal) || refusal.RetryAfterMillis != 5000 || calls.Load() != 1 {
		t.Fatalf("error %v after %d calls", err, calls.Load())
	}
}

func TestClient_PutConfigSendsBaseAndOrderID(t *testing.T) {
	var calls atomic.Int64
	client := clientOf(t, endpointOf(t, &calls, func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("If-Match") != `"7"` || request.Header.Get("Idempotency-Key") != "order" {
			t.Errorf("headers %v", request.Header)
		}
		answering(200, ConfigStatus{Version: 8})(writer, request)
	}))
	version, err := client.PutConfig(t.Context(), 7, "order", *validConfig())
	if err != nil || version != 8 {
		t.Fatalf("version %d, error %v", version, err)
	}
}
