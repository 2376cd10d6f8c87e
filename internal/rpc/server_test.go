package rpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func TestServer_HandlerErrorsReachCaller(t *testing.T) {
	rejection := &api.Error{Status: 409, Code: api.CodeConflict, Message: "other content", Fields: []api.FieldError{{Field: "f", Value: "v", Expected: "e"}}, RetryAfterMillis: 5}
	for name, test := range map[string]struct {
		returned error
		want     Error
		status   int
	}{
		"not leader":                {&Error{Code: CodeNotLeader, Message: "m", LeaderAddress: "127.0.0.1:1"}, Error{Code: CodeNotLeader, Message: "m", LeaderAddress: "127.0.0.1:1"}, 421},
		"wrapped":                   {fmt.Errorf("w: %w", &Error{Code: CodeUnknownOutcome, Message: "m"}), Error{Code: CodeUnknownOutcome, Message: "m"}, 504},
		"bad request":               {&Error{Code: CodeBadRequest, Message: "m"}, Error{Code: CodeBadRequest, Message: "m"}, 400},
		"unavailable":               {&Error{Code: CodeUnavailable, Message: "m"}, Error{Code: CodeUnavailable, Message: "m"}, 503},
		"api error":                 {fmt.Errorf("w: %w", rejection), Error{Code: CodeRefused, Message: "other content", API: rejection}, 409},
		"refused without api error": {&Error{Code: CodeRefused, Message: "m"}, Error{Code: CodeRefused, Message: "m"}, 422},
		"other error":               {errors.New("disk \xff"), Error{Code: CodeUnavailable, Message: "disk ?"}, 503},
		"own call unsent":           {&Error{Code: CodeTransport, Message: "m", Unsent: true}, Error{Code: CodeUnavailable, Message: "m"}, 503},
		"own call failed":           {&Error{Code: CodeTransport, Message: "m"}, Error{Code: CodeUnknownOutcome, Message: "m"}, 504},
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
				t.Fatalf("caller got a different error (-want +got):\n%s", diff)
			}
			if status != test.status {
				t.Fatalf("got status %d, want %d", status, test.status)
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
			t.Fatalf("got %v, want code unknown_outcome", failure)
		}
	}
	if count := strings.Count(log.String(), "broken invariant"); count != 2 {
		t.Fatalf("got the panic logged %d times, want 2:\n%s", count, log.String())
	}
}

func TestServer_RejectsMalformedRequests(t *testing.T) {
	server := NewServer(ServerConfig{MaxRequestBytes: 64})
	Handle(server, methodTest, func(_ context.Context, r protocol.CancelRequest) (protocol.Empty, error) {
		t.Errorf("handler called with %+v, want no call", r)
		return protocol.Empty{}, nil
	})
	address, client := serve(t, server, ClientConfig{})
	_, err := Call[protocol.CancelRequest, protocol.Empty](t.Context(), client, address, methodTest, protocol.CancelRequest{ID: strings.Repeat("x", 65)})
	if !errors.Is(err, &Error{Code: CodeBadRequest}) || !strings.Contains(err.Error(), "64 bytes") {
		t.Errorf("body over the limit: got %v, want bad_request with the limit of 64 bytes", err)
	}
	_, err = Call[protocol.Empty, protocol.Empty](t.Context(), client, address, "none", protocol.Empty{})
	if !errors.Is(err, &Error{Code: CodeBadRequest}) || !strings.Contains(err.Error(), `"none"`) {
		t.Errorf("unknown method: got %v, want bad_request with the method", err)
	}
	_, err = Call[string, protocol.Empty](t.Context(), client, address, methodTest, "text")
	if !errors.Is(err, &Error{Code: CodeBadRequest}) {
		t.Errorf("body of another type: got %v, want bad_request", err)
	}
	_, err = Call[chan int, protocol.Empty](t.Context(), client, address, methodTest, make(chan int))
	if !errors.Is(err, &Error{Code: CodeBadRequest}) {
		t.Errorf("type that cannot be encoded: got %v, want bad_request", err)
	}
	response, err := http.Get("http://" + address + "/rpc/test")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("GET: got status %d, want 400", response.StatusCode)
	}
	http.DefaultClient.CloseIdleConnections()
}

func TestServer_CallerCancelEndsHandlerContext(t *testing.T) {
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
		t.Fatalf("got %v, want a transport error that is not unsent", err)
	}
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("handler's context: got error %v, want context canceled", err)
	}
}

func TestHandle_MethodServedTwicePanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("got no panic for a second handler of a method")
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
	fallback := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTeapot) })
	handler := server.WithFallback(fallback)
	for path, want := range map[string]int{
		"/rpc/test": http.StatusBadRequest, "/rpc/none": http.StatusTeapot, "/rpc": http.StatusTeapot,
		"/rpc/": http.StatusTeapot, "/rpc//test": http.StatusTeapot, "/metrics": http.StatusTeapot, "/test": http.StatusTeapot,
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		if recorder.Code != want {
			t.Errorf("GET %s: got status %d, want %d", path, recorder.Code, want)
		}
	}
	address, client := serve(t, handler, ClientConfig{})
	if _, err := Call[protocol.Empty, protocol.Empty](t.Context(), client, address, methodTest, protocol.Empty{}); err != nil {
		t.Error(err)
	}
}

// TestServer_AnswersOfAnySizeHaveContentLength guards against answers without
// Content-Length. Short answers leave the header to net/http, so sizes around
// maxImplicitLength and the limit of net/http are checked.
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
			t.Errorf("body of %d bytes: got Content-Length %d, Content-Type %q", len(body), response.ContentLength, response.Header.Get("Content-Type"))
		}
		answer, err := Call[protocol.CancelRequest, protocol.CancelRequest](t.Context(), client, address, methodTest, request)
		if err != nil || answer != request {
			t.Errorf("sent an ID of %d bytes, got one of %d, error %v", size, len(answer.ID), err)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}
