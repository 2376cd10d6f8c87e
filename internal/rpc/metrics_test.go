package rpc

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/decklever/decklever/internal/protocol"
)

func TestMetrics_CountCallsAndBytesOnBothSides(t *testing.T) {
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Metrics: metrics})
	Handle(server, protocol.MethodCancel, func(_ context.Context, request protocol.CancelRequest) (protocol.CancelRequest, error) {
		return request, nil
	})
	listener := httptest.NewServer(server)
	defer listener.Close()
	client := NewClient(ClientConfig{Metrics: metrics})
	defer client.Close()
	address := strings.TrimPrefix(listener.URL, "http://")
	const calls = 3
	for range calls {
		if _, err := Call[protocol.CancelRequest, protocol.CancelRequest](t.Context(), client, address, protocol.MethodCancel, protocol.CancelRequest{ID: "job"}); err != nil {
			t.Fatal(err)
		}
	}
	body := testutil.ToFloat64(metrics.bodyBytes.WithLabelValues(sideClient, string(protocol.MethodCancel), directionSent))
	for _, side := range []string{sideClient, sideServer} {
		if got := testutil.ToFloat64(metrics.calls.WithLabelValues(side, string(protocol.MethodCancel))); got != calls {
			t.Errorf("got %v calls on the %s side, want %d", got, side, calls)
		}
		for _, direction := range []string{directionSent, directionReceived} {
			if got := testutil.ToFloat64(metrics.bodyBytes.WithLabelValues(side, string(protocol.MethodCancel), direction)); got != body || got == 0 {
				t.Errorf("%s, %s: got %v body bytes, want %v and more than 0", side, direction, got, body)
			}
		}
	}
	if got := testutil.ToFloat64(metrics.wireBytes.WithLabelValues(directionSent)); got <= body {
		t.Errorf("got %v bytes sent on the wire, want more than the %v of the bodies", got, body)
	}
}
