package rpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/testaddress"
	"github.com/decklever/decklever/internal/testnetwork"
)

func TestCall_RoundTripPreservesAllFields(t *testing.T) {
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
		t.Fatalf("got answer %+v, error %v; want Created, no error", answer, err)
	}
	if diff := cmp.Diff(request, received); diff != "" {
		t.Fatalf("request received differs from the one sent (-sent +received):\n%s", diff)
	}
}

func TestCall_HeartbeatPreservesEmbeddedRuns(t *testing.T) {
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
		t.Fatalf("heartbeat differs after decoding (-encoded +decoded):\n%s", diff)
	}
}

// TestCall_DeadlineReachesHandlerAndBoundsCall checks that the earlier of the client's
// timeout and the context's deadline applies. It runs in a synctest bubble, where the call
// itself takes no time, so that durations are exact.
func TestCall_DeadlineReachesHandlerAndBoundsCall(t *testing.T) {
	for name, test := range map[string]struct{ client, context, want time.Duration }{
		"client's timeout":   {client: 50 * time.Millisecond, context: time.Hour, want: 50 * time.Millisecond},
		"context's deadline": {client: 50 * time.Millisecond, context: 20 * time.Millisecond, want: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { requireDeadline(t, test.client, test.context, test.want) })
		})
	}
}

// requireDeadline makes a call whose handler waits for the deadline, and checks that the call
// and the handler's context end after want. It must run in a synctest bubble.
func requireDeadline(t *testing.T, clientTimeout, contextTimeout, want time.Duration) {
	t.Helper()
	remaining, ended := make(chan time.Duration, 1), make(chan error, 1)
	server := NewServer(ServerConfig{})
	Handle(server, methodTest, func(ctx context.Context, _ protocol.Empty) (protocol.Empty, error) {
		deadline, _ := ctx.Deadline()
		remaining <- time.Until(deadline)
		<-ctx.Done()
		ended <- ctx.Err()
		return protocol.Empty{}, ctx.Err()
	})
	network := testnetwork.New()
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	listener := network.Listen(t, "127.0.0.1:1")
	go func() { _ = httpServer.Serve(listener) }()
	defer func() { _ = httpServer.Close() }()
	client := NewClient(ClientConfig{Timeout: clientTimeout, Dialer: network.DialContext})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), contextTimeout)
	defer cancel()
	began := time.Now()
	if _, err := Call[protocol.Empty, protocol.Empty](ctx, client, "127.0.0.1:1", methodTest, protocol.Empty{}); err == nil {
		t.Fatal("got no error from a call past its deadline")
	}
	if elapsed := time.Since(began); elapsed != want {
		t.Errorf("got the end of the call after %v, want %v", elapsed, want)
	}
	if got := <-remaining; got != want {
		t.Errorf("handler got a deadline in %v, want %v", got, want)
	}
	if err := <-ended; err == nil {
		t.Error("got no error from the handler's context past the deadline")
	}
}

func TestCall_TransportErrors(t *testing.T) {
	client := NewClient(ClientConfig{})
	defer client.Close()
	closedAddress := testaddress.New(t)
	if failure := requireFailure(t, closedAddress, client); failure.Code != CodeTransport || !failure.Unsent {
		t.Errorf("refused connection: got %+v, want an unsent transport error", failure)
	}
	if failure := requireFailure(t, "not an address", client); failure.Code != CodeTransport || !failure.Unsent {
		t.Errorf("malformed address: got %+v, want an unsent transport error", failure)
	}
	blockedDialClient := NewClient(ClientConfig{Timeout: time.Millisecond, Dialer: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	defer blockedDialClient.Close()
	if failure := requireFailure(t, closedAddress, blockedDialClient); failure.Code != CodeTransport || !failure.Unsent {
		t.Errorf("dial timed out: got %+v, want an unsent transport error", failure)
	}
}

func TestCall_LostAnswerIsNotRetried(t *testing.T) {
	for name, respond := range map[string]func(http.ResponseWriter){
		"connection closed":  func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"not a Server":       func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway); _, _ = io.WriteString(w, "<html>") },
		"error without code": func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway); _, _ = w.Write([]byte{0xa0}) },
		"redirect": func(w http.ResponseWriter) {
			w.Header().Set("Location", "/rpc/test")
			w.WriteHeader(http.StatusTemporaryRedirect)
		},
		"malformed answer": func(w http.ResponseWriter) { _, _ = io.WriteString(w, "<html>") },
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
					respond(w)
					return
				}
				_, _ = w.Write([]byte{0xa0})
			})
			address, client := serve(t, handler, ClientConfig{MaxAnswerBytes: 64})
			if _, err := Call[protocol.Empty, protocol.Empty](t.Context(), client, address, methodTest, protocol.Empty{}); err != nil {
				t.Fatal(err)
			}
			if failure := requireFailure(t, address, client); failure.Code != CodeTransport || failure.Unsent {
				t.Fatalf("got %+v, want a transport error that is not unsent", failure)
			}
			if calls.Load() != 2 {
				t.Fatalf("call sent %d times, want 1", calls.Load()-1)
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
		t.Fatalf("got %d connections for 5 calls, want 1", dials.Load())
	}
}

// TestCall_PooledBuffersDoNotLeakBetweenCalls guards against decoded values that point into
// a pooled buffer: later calls, which reuse the buffer, would overwrite them.
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
		t.Fatalf("answers differ from the requests after later calls (-sent +got):\n%s", diff)
	}
}
