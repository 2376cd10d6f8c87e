package rpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/testaddress"
	"github.com/decklever/decklever/internal/testnetwork"
)

const methodTest protocol.Method = "test"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serve starts a server and returns its address and a client of it.
func serve(t *testing.T, handler http.Handler, config ClientConfig) (string, *Client) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := NewClient(config)
	t.Cleanup(client.Close)
	return server.Listener.Addr().String(), client
}

// newFailingServer returns a server whose method always ends with err.
func newFailingServer(err error) *Server {
	server := NewServer(ServerConfig{})
	Handle(server, methodTest, func(context.Context, protocol.Empty) (protocol.Empty, error) { return protocol.Empty{}, err })
	return server
}

// requireFailure calls the method and returns its failure.
func requireFailure(t *testing.T, address string, client *Client) *Error {
	t.Helper()
	_, err := Call[protocol.Empty, protocol.Empty](t.Context(), client, address, methodTest, protocol.Empty{})
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, expected an *Error", err)
	}
	return failure
}

func TestCall_RoundTripKeepsAllFields(t *testing.T) {
	notBefore := time.Date(2031, 2, 3, 4, 5, 6, 789, time.UTC)
	failures := 0
	request := protocol.SubmitRequest{ID: "j", Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{{
		Name: "s", NotBefore: &notBefore,
		Tasks: []api.TaskSpec{{
			Service: "sleep", Payload: []byte(`{"a": [1, 2]}`), Labels: map[string]string{"b": "1", "a": "2"},
			AllowedFailures: &failures, MaxDuration: api.Duration(time.Minute + time.Nanosecond),
		}},
	}}}}
	var received protocol.SubmitRequest
	server := NewServer(ServerConfig{})
	Handle(server, protocol.MethodSubmit, func(_ context.Context, r protocol.SubmitRequest) (protocol.SubmitAnswer, error) {
		received = r
		return protocol.SubmitAnswer{Created: true}, nil
	})
	address, client := serve(t, server, ClientConfig{})
	answer, err := Call[protocol.SubmitRequest, protocol.SubmitAnswer](t.Context(), client, address, protocol.MethodSubmit, request)
	if err != nil || !answer.Created {
		t.Fatalf("answer %+v, error %v", answer, err)
	}
	if diff := cmp.Diff(request, received); diff != "" {
		t.Fatalf("request differs (-sent +received):\n%s", diff)
	}
}

func TestCall_HeartbeatKeepsEmbeddedRuns(t *testing.T) {
	request := protocol.HeartbeatRequest{Agent: "a", Heartbeat: api.Heartbeat{
		Seq:   7,
		Ended: []api.EndedRun{{RunRef: api.RunRef{Task: "j/s/0", Run: 3}, Outcome: api.OutcomeFailed, Message: "m"}},
	}}
	encoded, err := newCodec().encode(request)
	if err != nil {
		t.Fatal(err)
	}
	var decoded protocol.HeartbeatRequest
	if err := newCodec().decode(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(request, decoded); diff != "" {
		t.Fatalf("heartbeat differs (-sent +received):\n%s", diff)
	}
}

func TestServer_HandlerErrorsReachCaller(t *testing.T) {
	refused := &api.Error{Status: 409, Code: api.CodeConflict, Message: "other content", Fields: []api.FieldError{{Field: "f", Value: "v", Expected: "e"}}, RetryAfterMillis: 5}
	for name, test := range map[string]struct {
		returned error
		want     Error
		status   int
	}{
		"not leader":      {&Error{Code: CodeNotLeader, Message: "m", LeaderAddress: "127.0.0.1:1"}, Error{Code: CodeNotLeader, Message: "m", LeaderAddress: "127.0.0.1:1"}, 421},
		"wrapped":         {fmt.Errorf("w: %w", &Error{Code: CodeUnknownOutcome, Message: "m"}), Error{Code: CodeUnknownOutcome, Message: "m"}, 504},
		"bad request":     {&Error{Code: CodeBadRequest, Message: "m"}, Error{Code: CodeBadRequest, Message: "m"}, 400},
		"unavailable":     {&Error{Code: CodeUnavailable, Message: "m"}, Error{Code: CodeUnavailable, Message: "m"}, 503},
		"api error":       {fmt.Errorf("w: %w", refused), Error{Code: CodeRefused, Message: "other content", API: refused}, 409},
		"refused, bare":   {&Error{Code: CodeRefused, Message: "m"}, Error{Code: CodeRefused, Message: "m"}, 422},
		"any other":       {errors.New("disk \xff"), Error{Code: CodeUnavailable, Message: "disk ?"}, 503},
		"own call unsent": {&Error{Code: CodeTransport, Message: "m", Unsent: true}, Error{Code: CodeUnavailable, Message: "m"}, 503},
		"own call failed": {&Error{Code: CodeTransport, Message: "m"}, Error{Code: CodeUnknownOutcome, Message: "m"}, 504},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFailingServer(test.returned)
			var status int
			recording := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				recorder := httptest.NewRecorder()
				server.ServeHTTP(recorder, request)
				status = recorder.Code
				writer.WriteHeader(recorder.Code)
				_, _ = writer.Write(recorder.Body.Bytes())
			})
			address, client := serve(t, recording, ClientConfig{})
			failure := requireFailure(t, address, client)
			if diff := cmp.Diff(test.want, *failure); diff != "" {
				t.Fatalf("error differs (-want +got):\n%s", diff)
			}
			if status != test.status {
				t.Fatalf("status %d, want %d", status, test.status)
			}
		})
	}
}

func TestServer_PanicIsLoggedAndAnswered(t *testing.T) {
	var log bytes.Buffer
	server := NewServer(ServerConfig{Logger: slog.New(slog.NewTextHandler(&log, nil))})
	Handle(server, methodTest, func(context.Context, protocol.Empty) (protocol.Empty, error) { panic("broken invariant") })
	address, client := serve(t, server, ClientConfig{})
	for range 2 {
		if failure := requireFailure(t, address, client); failure.Code != CodeUnknownOutcome {
			t.Fatalf("got %v", failure)
		}
	}
	if count := strings.Count(log.String(), "broken invariant"); count != 2 {
		t.Fatalf("panic logged %d times:\n%s", count, log.String())
	}
}

func TestServer_RejectsMalformedRequests(t *testing.T) {
	server := NewServer(ServerConfig{MaxRequestBytes: 64})
	Handle(server, methodTest, func(_ context.Context, r protocol.CancelRequest) (protocol.Empty, error) {
		t.Errorf("handler got %+v", r)
		return protocol.Empty{}, nil
	})
	address, client := serve(t, server, ClientConfig{})
	_, err := Call[protocol.CancelRequest, protocol.Empty](t.Context(), client, address, methodTest, protocol.CancelRequest{ID: strings.Repeat("x", 65)})
	if !errors.Is(err, &Error{Code: CodeBadRequest}) || !strings.Contains(err.Error(), "64 bytes") {
		t.Errorf("body over the limit: %v", err)
	}
	_, err = Call[protocol.Empty, protocol.Empty](t.Context(), client, address, "none", protocol.Empty{})
	if !errors.Is(err, &Error{Code: CodeBadRequest}) || !strings.Contains(err.Error(), `"none"`) {
		t.Errorf("unknown method: %v", err)
	}
	_, err = Call[string, protocol.Empty](t.Context(), client, address, methodTest, "text")
	if !errors.Is(err, &Error{Code: CodeBadRequest}) {
		t.Errorf("other type: %v", err)
	}
	_, err = Call[chan int, protocol.Empty](t.Context(), client, address, methodTest, make(chan int))
	if !errors.Is(err, &Error{Code: CodeBadRequest}) {
		t.Errorf("type that cannot be sent: %v", err)
	}
	response, err := http.Get("http://" + address + "/rpc/test")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("GET: status %d", response.StatusCode)
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestCall_DeadlineReachesHandlerAndBoundsCall: the nearer of the client's and
// the context's deadline does. In the bubble no time passes on the way.
func TestCall_DeadlineReachesHandlerAndBoundsCall(t *testing.T) {
	for name, test := range map[string]struct{ client, context, want time.Duration }{
		"the client's":  {client: 50 * time.Millisecond, context: time.Hour, want: 50 * time.Millisecond},
		"the context's": {client: 50 * time.Millisecond, context: 20 * time.Millisecond, want: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { requireDeadline(t, test.client, test.context, test.want) })
		})
	}
}

// requireDeadline makes a call that only its deadline ends, in a bubble.
func requireDeadline(t *testing.T, clients, contexts, want time.Duration) {
	left, ended := make(chan time.Duration, 1), make(chan error, 1)
	server := NewServer(ServerConfig{})
	Handle(server, methodTest, func(ctx context.Context, _ protocol.Empty) (protocol.Empty, error) {
		deadline, _ := ctx.Deadline()
		left <- time.Until(deadline)
		<-ctx.Done()
		ended <- ctx.Err()
		return protocol.Empty{}, ctx.Err()
	})
	network := testnetwork.New()
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	listener := network.Listen(t, "127.0.0.1:1")
	go func() { _ = httpServer.Serve(listener) }()
	defer func() { _ = httpServer.Close() }()
	client := NewClient(ClientConfig{Timeout: clients, Dialer: network.DialContext})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), contexts)
	defer cancel()
	began := time.Now()
	if _, err := Call[protocol.Empty, protocol.Empty](ctx, client, "127.0.0.1:1", methodTest, protocol.Empty{}); err == nil {
		t.Fatal("the deadline did not end the call")
	}
	if took := time.Since(began); took != want {
		t.Errorf("the call took %v, want %v", took, want)
	}
	if got := <-left; got != want {
		t.Errorf("the handler had %v, want %v", got, want)
	}
	if err := <-ended; err == nil {
		t.Error("the handler's context did not end")
	}
}

func TestServer_CallerGoneEndsHandler(t *testing.T) {
	entered, ended := make(chan struct{}), make(chan error, 1)
	server := NewServer(ServerConfig{})
	Handle(server, methodTest, func(ctx context.Context, _ protocol.Empty) (protocol.Empty, error) {
		close(entered)
		<-ctx.Done()
		ended <- ctx.Err()
		return protocol.Empty{}, ctx.Err()
	})
	address, client := serve(t, server, ClientConfig{Timeout: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-entered; cancel() }()
	_, err := Call[protocol.Empty, protocol.Empty](ctx, client, address, methodTest, protocol.Empty{})
	if failure := new(Error); !errors.As(err, &failure) || failure.Code != CodeTransport || failure.Unsent {
		t.Fatalf("got %v, want a transport error of unknown effect", err)
	}
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("handler ended with %v", err)
	}
}

func TestCall_TransportErrors(t *testing.T) {
	client := NewClient(ClientConfig{})
	defer client.Close()
	refusing := testaddress.New(t)
	if failure := requireFailure(t, refusing, client); failure.Code != CodeTransport || !failure.Unsent {
		t.Errorf("refused connection: %+v", failure)
	}
	if failure := requireFailure(t, "not an address", client); failure.Code != CodeTransport || !failure.Unsent {
		t.Errorf("wrong address: %+v", failure)
	}
	stuck := NewClient(ClientConfig{Timeout: time.Millisecond, Dialer: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	defer stuck.Close()
	if failure := requireFailure(t, refusing, stuck); failure.Code != CodeTransport || !failure.Unsent {
		t.Errorf("dial out of time: %+v", failure)
	}
}

func TestCall_LostAnswerIsNotRetried(t *testing.T) {
	for name, spoil := range map[string]func(http.ResponseWriter){
		"connection cut":   func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"not our server":   func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway); _, _ = io.WriteString(w, "<html>") },
		"error, no code":   func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway); _, _ = w.Write([]byte{0xa0}) },
		"redirect":         func(w http.ResponseWriter) { w.Header().Set("Location", "/rpc/test"); w.WriteHeader(307) },
		"not an answer":    func(w http.ResponseWriter) { _, _ = io.WriteString(w, "<html>") },
		"answer too large": func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, 65)) },
		"chunked too large": func(w http.ResponseWriter) {
			_, _ = w.Write(make([]byte, 33))
			w.(http.Flusher).Flush()
			_, _ = w.Write(make([]byte, 33))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) > 1 { // the first call only opens the connection
					spoil(w)
					return
				}
				_, _ = w.Write([]byte{0xa0})
			})
			address, client := serve(t, handler, ClientConfig{MaxAnswerBytes: 64})
			if _, err := Call[protocol.Empty, protocol.Empty](t.Context(), client, address, methodTest, protocol.Empty{}); err != nil {
				t.Fatal(err)
			}
			if failure := requireFailure(t, address, client); failure.Code != CodeTransport || failure.Unsent {
				t.Fatalf("got %+v", failure)
			}
			if calls.Load() != 2 {
				t.Fatalf("sent %d times", calls.Load()-1)
			}
		})
	}
}

func TestClient_ReusesConnections(t *testing.T) {
	var dials atomic.Int32
	dialer := func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	address, client := serve(t, newFailingServer(errors.New("no")), ClientConfig{Dialer: dialer})
	for range 5 {
		_ = requireFailure(t, address, client)
	}
	if dials.Load() != 1 {
		t.Fatalf("%d connections for 5 calls", dials.Load())
	}
}

func TestHandle_MethodServedTwicePanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("no panic")
		}
	}()
	register := func(s *Server) {
		Handle(s, methodTest, func(context.Context, protocol.Empty) (protocol.Empty, error) { return protocol.Empty{}, nil })
	}
	server := NewServer(ServerConfig{})
	register(server)
	register(server)
}

func TestWithFallback_ServesOwnMethodsFirst(t *testing.T) {
	server := newFailingServer(nil)
	elsewhere := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTeapot) })
	handler := server.WithFallback(elsewhere)
	for path, want := range map[string]int{
		"/rpc/test": http.StatusBadRequest, "/rpc/none": http.StatusTeapot, "/rpc": http.StatusTeapot,
		"/rpc/": http.StatusTeapot, "/rpc//test": http.StatusTeapot, "/metrics": http.StatusTeapot, "/test": http.StatusTeapot,
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		if recorder.Code != want {
			t.Errorf("GET %s: status %d, want %d", path, recorder.Code, want)
		}
	}
	address, client := serve(t, handler, ClientConfig{})
	if _, err := Call[protocol.Empty, protocol.Empty](t.Context(), client, address, methodTest, protocol.Empty{}); err != nil {
		t.Error(err)
	}
}

// TestServer_AnswersOfAnySizeHaveContentLength: the length stands before the body, so that
// the connection can be kept; also where the server leaves it to net/http.
func TestServer_AnswersOfAnySizeHaveContentLength(t *testing.T) {
	server := NewServer(ServerConfig{})
	Handle(server, methodTest, func(_ context.Context, request protocol.CancelRequest) (protocol.CancelRequest, error) {
		return request, nil
	})
	address, client := serve(t, server, ClientConfig{})
	for _, size := range []int{0, 1, maxImplicitLength - 8, maxImplicitLength, maxImplicitLength + 8, 2047, 2048, 5000, 2 * maxPooledBytes} {
		request := protocol.CancelRequest{ID: strings.Repeat("x", size)}
		body, err := newCodec().encode(request)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.Post("http://"+address+"/rpc/test", contentType, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.ContentLength != int64(len(body)) || response.Header.Get("Content-Type") != contentType {
			t.Errorf("%d bytes: length %d, type %q", len(body), response.ContentLength, response.Header.Get("Content-Type"))
		}
		answer, err := Call[protocol.CancelRequest, protocol.CancelRequest](t.Context(), client, address, methodTest, request)
		if err != nil || answer != request {
			t.Errorf("%d bytes came back as %d, error %v", size, len(answer.ID), err)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestCall_PooledBuffersDoNotLeakBetweenCalls: buffers are used again, and whatever was
// read must not point into them.
func TestCall_PooledBuffersDoNotLeakBetweenCalls(t *testing.T) {
	server := NewServer(ServerConfig{})
	Handle(server, methodTest, func(_ context.Context, request protocol.SnapshotChunkRequest) (protocol.SnapshotChunkRequest, error) {
		return request, nil
	})
	address, client := serve(t, server, ClientConfig{})
	var sent, got []protocol.SnapshotChunkRequest
	for number := range 20 {
		request := protocol.SnapshotChunkRequest{Data: bytes.Repeat([]byte{byte(number)}, 100*(20-number)), Address: strings.Repeat(string(rune('a'+number)), number)}
		answer, err := Call[protocol.SnapshotChunkRequest, protocol.SnapshotChunkRequest](t.Context(), client, address, methodTest, request)
		if err != nil {
			t.Fatal(err)
		}
		sent, got = append(sent, request), append(got, answer)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Fatalf("answers changed afterwards (-sent +got):\n%s", diff)
	}
}
