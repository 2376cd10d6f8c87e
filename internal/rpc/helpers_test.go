package rpc

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/goleak"

	"github.com/decklever/decklever/internal/protocol"
)

const methodTest protocol.Method = "test"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serve starts an HTTP server and returns its address and a client. Both are closed when the
// test ends.
func serve(t *testing.T, handler http.Handler, config ClientConfig) (string, *Client) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := NewClient(config)
	t.Cleanup(client.Close)
	return server.Listener.Addr().String(), client
}

// newFailingServer returns a server whose handler of methodTest returns err, which may be nil.
func newFailingServer(err error) *Server {
	server := NewServer(ServerConfig{})
	Handle(server, methodTest, func(context.Context, protocol.Empty) (protocol.Empty, error) { return protocol.Empty{}, err })
	return server
}

// requireFailure calls methodTest and returns the error, which must be an *Error.
func requireFailure(t *testing.T, address string, client *Client) *Error {
	t.Helper()
	_, err := Call[protocol.Empty, protocol.Empty](t.Context(), client, address, methodTest, protocol.Empty{})
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want an *Error", err)
	}
	return failure
}
